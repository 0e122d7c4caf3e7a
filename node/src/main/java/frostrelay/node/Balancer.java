package frostrelay.node;

import frostrelay.judgements.Seen;
import frostrelay.lifecycle.ActionGuard;
import frostrelay.lifecycle.SharedFolder;
import frostrelay.log.Event;
import frostrelay.log.Log;
import frostrelay.policy.Api;
import frostrelay.policy.Api.Reason;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Stands between the sockets and the decision module: the ledger of open requests and their
 * attempts, and the timers. It decides nothing: what is sent, repeated, refused or given up is the
 * module's word.
 *
 * <p>All of it runs on the one event loop. Events reach the module one at a time: an outcome that
 * an action causes at once is queued and handed over when the module has returned, as the module is
 * not reentrant.
 */
final class Balancer implements Api.Actions, Backend.Listener, Discovery.Listener {
    /**
     * A client counts its wait from when it sent, not from when the request was read here, and the
     * answer has its way to go as well: this much is taken off, so that a final answer is there
     * before it is overdue.
     */
    private static final long WAYS = 6 * Clock.MILLISECOND;

    /**
     * The sweep comes four times a second; when it is overdue by twice that, the process was
     * stopped or starved.
     */
    private static final long PAUSE = 750 * Clock.MILLISECOND;

    /** A few rounds of the event loop, each of which reads all that has come; far below any aim. */
    private static final long CATCH_UP_MS = 10;

    /**
     * An agent that is down comes back within seconds, and what it has then binds at once, but for
     * a drain's 500 ms.
     */
    private static final long AGENT_AGAIN_MS = 150;

    /** A silent agent tells nothing: clients are not kept waiting for it for longer at a start. */
    private static final long FIRST_LIST_MS = 2_000;

    /** Past its deadline by this, a request that the module has left open is answered here. */
    private static final long LAST_CALL = Clock.MILLISECOND;

    /**
     * A final answer that is later than this has another cause than a process that was held up for
     * as long as it may be.
     */
    private static final long MOST_LATE = ActionGuard.HELD_UP + 50 * Clock.MILLISECOND;

    /** Makes the decision module, given where its actions go. */
    interface Module {
        Api.Events create(Api.Settings settings, long seed, Api.Actions actions);
    }

    /**
     * What the module is to be told. The frequent ones are classes of their own: without the second
     * compiler, which this program does not load, a lambda that holds something is made through a
     * slow call into the JVM each time.
     */
    private abstract static class ModuleEvent {
        final Exchange exchange;

        ModuleEvent(Exchange exchange) {
            this.exchange = exchange;
        }

        abstract void tell();
    }

    private static final class Rare extends ModuleEvent {
        private final Runnable action;

        Rare(Exchange exchange, Runnable action) {
            super(exchange);
            this.action = action;
        }

        @Override
        void tell() {
            action.run();
        }
    }

    private final class Asked extends ModuleEvent {
        Asked(Exchange exchange) {
            super(exchange);
        }

        @Override
        void tell() {
            if (exchange.over) {
                return;
            }
            Ask ask = exchange.ask;
            witness.onTaken(ask.repeat());
            router.onRequest(
                    Clock.now(),
                    new Api.Request(
                            exchange.id,
                            ask.requestClass(),
                            ask.tenant(),
                            ask.keyNumber(),
                            exchange.answerBy,
                            ask.work(),
                            ask.repeat(),
                            ask.write()));
        }
    }

    private final class Ended extends ModuleEvent {
        private final Attempt attempt;
        private final Reason reason;
        private final Reply answer;
        private final ValueStream value;

        Ended(Attempt attempt, Reason reason, Reply answer, ValueStream value) {
            super(attempt.exchange);
            this.attempt = attempt;
            this.reason = reason;
            this.answer = answer;
            this.value = value;
        }

        @Override
        void tell() {
            exchange.pending--;
            if (reason == Reason.OK && close(exchange)) {
                exchange.winner = attempt.number;
                counters.served++;
                trace(exchange, "served", attempt.number);
                exchange.client.served(answer, value);
            } else if (value != null) {
                value.cancel();
            }
            Seen seen = seen();
            if (seen != null) {
                witness.onSeen(attempt.server, seen, attempt.sentAt);
            }
            Api.Source source = answer == null ? Api.Source.UNKNOWN : answer.source();
            if (attempt.sent) {
                witness.onEnded(reason, source);
            }
            float[] report = site().report(answer == null ? null : answer.report());
            long now = Clock.now();
            router.onOutcome(
                    now,
                    new Api.Outcome(
                            exchange.id,
                            attempt.number,
                            reason,
                            now - attempt.sentAt,
                            exchange.over,
                            source,
                            report));
        }

        /**
         * What this tells of the cache; null for nothing. What it turns away while it is full is no
         * fault of its own.
         */
        private Seen seen() {
            return switch (reason) {
                case OK, MISS -> Seen.ANSWERED;
                case ERROR -> Seen.FAILED;
                case TIMEOUT -> Seen.SILENT;
                case RESET -> Seen.RESET;
                case CONNECT_FAILED -> Seen.UNREACHABLE;
                // Its copy, sent later, was answered first.
                case CANCELLED -> exchange.winner > attempt.number ? Seen.SILENT : null;
                case REJECTED, MOOT -> null;
            };
        }
    }

    private final class Timer extends ModuleEvent implements Runnable {
        private final long moment;
        private final int token;

        Timer(long moment, int token) {
            super(null);
            this.moment = moment;
            this.token = token;
        }

        @Override
        public void run() {
            counters.timer(Clock.now() - moment);
            post(this);
        }

        @Override
        void tell() {
            router.onTimer(Clock.now(), token);
        }
    }

    private final class LastCall implements Runnable {
        private final Exchange exchange;

        LastCall(Exchange exchange) {
            this.exchange = exchange;
        }

        /**
         * The module has not answered in time; whatever the reason, the client must not be left
         * without.
         */
        @Override
        public void run() {
            if (!exchange.over) {
                counters.lastCalls++;
                settle(exchange);
            }
        }
    }

    private final class Cut implements Runnable {
        private final Attempt attempt;

        Cut(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void run() {
            counters.timer(Clock.now() - attempt.cutAt);
            // What never left cannot have run: its connection did not come up in time.
            drop(attempt, attempt.written() ? Reason.TIMEOUT : Reason.CONNECT_FAILED);
        }
    }

    private final CurrentSite site;
    private final EventLoop loop;
    private final Counters counters;
    private final Api.Events router;
    private final Backend pool;
    private final Discovery discovery;
    private final Map<Long, Exchange> exchanges = new HashMap<>();

    /** The ids of requests that are owed an answer. */
    private final Set<String> openIds = new HashSet<>();

    private final Budget budget;
    private final ActionGuard guard;

    /** Unix time in milliseconds, which may step; for what discovery tells in it alone. */
    private final LongSupplier wallMs;

    private final StartTimes startTimes = new StartTimes();
    private final Witness witness;
    private final Queue<ModuleEvent> events = new ArrayDeque<>();
    private Set<Long> held = Set.of();
    private Set<Long> heldElsewhere = Set.of();
    private Set<Long> avoided = Set.of();

    /** The list's entries as discovery told them. */
    private final Map<Long, Api.Server> listed = new HashMap<>();

    /**
     * When the last sweep was, and whether requests that come behind a pause wait for what others
     * have told.
     */
    private long beat = Clock.now();

    private boolean catchUp;
    private boolean inModule;
    private long lastId;

    /** Done once discovery was heard, or failed, where its list binds from the first moment on. */
    private final Promise<Void> heard;

    Balancer(
            Config config,
            EventLoop loop,
            Counters counters,
            Module module,
            Backend.Maker backend,
            Budget budget,
            ActionGuard guard,
            SharedFolder.Look shared,
            Witness witness,
            LongSupplier wallMs) {
        this.budget = budget;
        this.wallMs = wallMs;
        this.guard = guard;
        this.witness = witness;
        this.site = new CurrentSite(config.site());
        this.loop = loop;
        this.counters = counters;
        this.pool = backend.create(site, this);
        this.discovery = new Discovery(config, site, loop, this);
        this.heard = loop.newPromise();
        this.router = module.create(config.site().settings, config.seed(), this);
        onOthers(shared.others());
        onHolds(shared.holds());
        Catalog known = config.known();
        onList(Api.ListMode.CACHED, known.rev(), known.members());
        if (site().settings.subscribe()) {
            heard.setSuccess(null);
        } else {
            loop.schedule(() -> heard.trySuccess(null), FIRST_LIST_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Done when clients may come. Where lists are pushed, the agent's list binds from the first
     * moment of this process, and the one of the configuration may be old: nothing is sent before
     * the agent was heard, or has failed.
     */
    Future<Void> heard() {
        return heard;
    }

    // What comes in.

    /**
     * Takes a request, which is answered exactly once unless its client leaves first. Hosts know
     * requests by their ids alone: a second one under an open id could be served with what was made
     * for the first. {@code arrivedAt}: when it had come whole; its client's wait has run since,
     * however long it stood in line here.
     */
    Exchange take(Ask ask, long arrivedAt, Exchange.Client client) throws IdInUseException {
        if (openIds.contains(ask.id())) {
            throw new IdInUseException();
        }
        long now = Clock.now();
        long answerBy = guard.answerBy(arrivedAt, ask.waitMs() * Clock.MILLISECOND - WAYS);
        Exchange exchange =
                new Exchange(
                        ++lastId,
                        ask,
                        site().settings.classes().get(ask.requestClass()),
                        now,
                        answerBy,
                        client);
        counters.taken++;
        trace(exchange, "taken", ask.waitMs());
        // Running out of room is told to the client: a refusal of what never went out does no harm.
        if (open() >= site().maxOpen) {
            answerRefused(exchange, RefusalReason.TOO_MANY_OPEN, 0);
            return exchange;
        }
        if (!budget.take(ask.bytes())) {
            answerRefused(exchange, RefusalReason.NO_MEMORY, 0);
            return exchange;
        }
        exchanges.put(exchange.id, exchange);
        openIds.add(ask.id());
        scheduleLastCall(exchange, now);
        if (catchUp && now - beat > PAUSE) {
            // This process stood still: what others have told it meanwhile waits in its sockets,
            // and is read first.
            loop.schedule(() -> post(new Asked(exchange)), CATCH_UP_MS, TimeUnit.MILLISECONDS);
        } else {
            post(new Asked(exchange));
        }
        return exchange;
    }

    private void scheduleLastCall(Exchange exchange, long now) {
        exchange.lastCall =
                loop.schedule(
                        new LastCall(exchange),
                        exchange.answerBy + LAST_CALL - now,
                        TimeUnit.NANOSECONDS);
    }

    /**
     * From now on every request is answered by this moment, also those that were accepted before.
     */
    void answerAllBy(long latest) {
        long now = Clock.now();
        for (Exchange exchange : exchanges.values()) {
            if (!exchange.over && exchange.answerBy > latest) {
                exchange.answerBy = latest;
                exchange.lastCall.cancel(false);
                scheduleLastCall(exchange, now);
            }
        }
    }

    private static void trace(Exchange exchange, String state, Object detail) {
        if (Log.isEnabled(Event.REQUEST)) {
            Log.write(Event.REQUEST, exchange.ask.id(), state, detail);
        }
    }

    /** The client of an open request has closed its connection: nothing is owed any more. */
    void clientGone(Exchange exchange) {
        if (close(exchange)) {
            counters.clientsGone++;
            trace(exchange, "client-gone", null);
            post(exchange, () -> router.onClientGone(Clock.now(), exchange.id));
        }
    }

    @Override
    public void onList(Api.ListMode mode, long rev, List<Catalog.Member> members) {
        witness.onList(mode, rev, members);
        pool.update(mode, members);
        boolean all = mode == Api.ListMode.FULL || mode == Api.ListMode.CACHED;
        if (all) {
            listed.clear();
        }
        if (mode != Api.ListMode.FAILED) {
            startTimes.onList(Clock.now(), wallMs.getAsLong() * Clock.MILLISECOND);
        }
        List<Api.Server> own =
                members.stream().map(Catalog.Member::server).map(this::onOwnClock).toList();
        own.forEach(server -> listed.put(server.id(), server));
        if (all) {
            startTimes.keep(listed.keySet());
        }
        List<Api.Server> servers = own.stream().map(this::heard).toList();
        post(null, () -> router.onList(Clock.now(), mode, servers));
        if (!site().settings.subscribe()) {
            follow(mode);
        }
    }

    /**
     * Where lists are pushed, the module asks for none: the agent beside this process is watched
     * all the time, at no cost.
     */
    private void follow(Api.ListMode mode) {
        if (mode == Api.ListMode.CACHED) {
            discovery.subscribe();
            return;
        }
        heard.trySuccess(null);
        if (mode == Api.ListMode.FAILED) {
            loop.schedule(discovery::subscribe, AGENT_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public ActionGuard.Verdict maySend(Attempt attempt, long hostUntil) {
        long now = Clock.now();
        return guard.maySend(now, facts(now, attempt, hostUntil));
    }

    @Override
    public long tellableWait(Attempt attempt) {
        return guard.tellableWait(Clock.now(), attempt.cutAt, attempt.exchange.answerBy);
    }

    private ActionGuard.Send facts(long now, Attempt attempt, long hostUntil) {
        Exchange exchange = attempt.exchange;
        return new ActionGuard.Send(
                exchange.over,
                exchange.client.unseenSince(now),
                attempt.cutAt,
                exchange.answerBy,
                hostUntil,
                repeatUntil(attempt));
    }

    /**
     * Until when it does no harm to send an attempt, for what the attempts before it may have done.
     */
    private long repeatUntil(Attempt attempt) {
        for (int i = 0; i < attempt.number; i++) {
            Attempt earlier = attempt.exchange.attempts.get(i);
            if (earlier.ended == null || !earlier.ended.neverRan) {
                Api.RequestClass current =
                        site().settings.classes().get(attempt.exchange.ask.requestClass());
                return Math.min(
                        repeatUntil(attempt.exchange.requestClass, earlier),
                        repeatUntil(current, earlier));
            }
        }
        return ActionGuard.NEVER;
    }

    private static long repeatUntil(Api.RequestClass requestClass, Attempt first) {
        return switch (requestClass.effect()) {
            case RETRYABLE -> ActionGuard.NEVER;
            case DEDUP -> first.sentAt + requestClass.window() - ActionGuard.HELD_UP;
            case FRAGILE -> first.sentAt;
        };
    }

    /**
     * Looks once more, with the clock read anew: what is found here was held up for longer than is
     * allowed for.
     */
    @Override
    public void onWritten(Attempt attempt, long hostUntil) {
        long now = Clock.now();
        ActionGuard.Verdict verdict =
                guard.maySend(now - ActionGuard.HELD_UP, facts(now, attempt, hostUntil));
        if (verdict != ActionGuard.Verdict.ALLOWED) {
            counters.violated(
                    Violation.WRITTEN_AGAINST_GUARD, attempt.exchange.ask.id() + ": " + verdict);
        }
        long overstated = now + attempt.toldMs * Clock.MILLISECOND - attempt.exchange.answerBy;
        if (overstated > ActionGuard.HELD_UP) {
            counters.violated(
                    Violation.TIME_OVERSTATED,
                    attempt.exchange.ask.id() + ": by " + overstated / Clock.MILLISECOND + " ms");
        }
    }

    @Override
    public void onWrite(Attempt attempt, int host) {
        boolean copy = false;
        for (int i = 0; i < attempt.number; i++) {
            copy |= !attempt.exchange.attempts.get(i).over;
        }
        attempt.sent = true;
        trace(attempt.exchange, "attempt-written", attempt.number);
        witness.onWrite(attempt.under, host, attempt.number, copy, attempt.exchange.ask);
    }

    @Override
    public int number(String uid) {
        return witness.number(uid);
    }

    @Override
    public void onAnswer(Attempt attempt, Reason reason, Reply answer, ValueStream value) {
        end(attempt, reason, answer, value);
    }

    /**
     * The configuration was replaced: of what it tells, the settings and where discovery is change
     * under way.
     */
    void reload(Config fresh) {
        witness.onConfig(fresh);
        site.swap(fresh.site());
        post(null, () -> router.onSettings(Clock.now(), fresh.site().settings));
        discovery.moveTo(fresh.discovery());
    }

    Site site() {
        return site.get();
    }

    /** The number of requests that are owed an answer. */
    int open() {
        return openIds.size();
    }

    /** The first open requests, each by its id and the milliseconds that are left to answer it. */
    Map<String, Object> openRequests(int most) {
        long now = Clock.now();
        Map<String, Object> open = new LinkedHashMap<>();
        for (Exchange exchange : exchanges.values()) {
            if (!exchange.over && open.size() < most) {
                open.put(exchange.ask.id(), (exchange.answerBy - now) / Clock.MILLISECOND);
            }
        }
        return open;
    }

    /** Connections to hosts. */
    int links() {
        return pool.links();
    }

    void gauges(Map<String, Object> into) {
        into.put("open", open());
        into.put("ledger", exchanges.size());
        pool.gauges(into);
    }

    /** Operators hold these servers out of use, by the names that the list has for them. */
    void onHolds(Set<String> names) {
        Set<Long> servers = new HashSet<>();
        names.forEach(name -> servers.add(Catalog.hash(name)));
        witness.onHolds(names);
        held = servers;
        rule();
    }

    /**
     * On others' word these are avoided: by their newer lists, for which the module takes them as
     * drained, and {@code held} by their operators, which is as though ours did.
     */
    void onAvoid(Set<Long> servers, Set<Long> heldByOthers) {
        Set<Long> changed = new TreeSet<>(avoided);
        changed.addAll(servers);
        changed.removeIf(
                id -> avoided.contains(id) == servers.contains(id) || !listed.containsKey(id));
        avoided = servers;
        heldElsewhere = heldByOthers;
        List<Api.Server> entries = changed.stream().map(listed::get).map(this::heard).toList();
        post(null, () -> router.onList(Clock.now(), Api.ListMode.DELTA, entries));
        rule();
    }

    /** An entry of the list with its start on this program's clock. */
    private Api.Server onOwnClock(Api.Server told) {
        if (told.state() == Api.State.GONE) {
            startTimes.forget(told.id());
            return told;
        }
        return new Api.Server(
                told.id(),
                told.zone(),
                told.kind(),
                told.cell(),
                told.state(),
                told.weight(),
                startTimes.own(told.id(), told.startedAt()));
    }

    /** An entry of the list as others' newer ones have it. */
    private Api.Server heard(Api.Server own) {
        return own.state() != Api.State.READY || !avoided.contains(own.id())
                ? own
                : new Api.Server(
                        own.id(),
                        own.zone(),
                        own.kind(),
                        own.cell(),
                        Api.State.DRAINING,
                        own.weight(),
                        own.startedAt());
    }

    /** The fleet finds these bad. */
    void onLower(Set<Long> servers) {
        post(null, () -> router.onFleet(Clock.now(), servers));
    }

    private void rule() {
        Set<Long> out = new HashSet<>(held);
        out.addAll(heldElsewhere);
        Set<Long> holds = Set.copyOf(out);
        out.addAll(avoided);
        pool.hold(Set.copyOf(out));
        post(null, () -> router.onHolds(Clock.now(), holds));
    }

    /** Requests that come right behind a pause of this process wait until its sockets are read. */
    void catchUpFirst() {
        catchUp = true;
    }

    /** Discovery is asked anew. */
    void refresh() {
        discovery.refresh();
    }

    /**
     * Whether the list names a server so, or did lately: operators restart what they take out, and
     * discovery may call it gone just before their call comes in.
     */
    boolean knows(String name) {
        return pool.knows(Catalog.hash(name));
    }

    /** So many further processes of this balancer serve now. */
    void onOthers(int others) {
        post(null, () -> router.onOthers(Clock.now(), others));
    }

    /** From now on so many connections to hosts are held at most. */
    void limit(int mostConnections) {
        pool.limit(mostConnections);
    }

    /** Closes what the pool holds idle for too long; called once in a while. */
    void sweep() {
        beat = Clock.now();
        pool.sweep();
    }

    // Events for the module, one at a time.

    private void post(Exchange exchange, Runnable action) {
        post(new Rare(exchange, action));
    }

    private void post(ModuleEvent added) {
        events.add(added);
        if (inModule) {
            return;
        }
        inModule = true;
        try {
            for (ModuleEvent event = events.poll(); event != null; event = events.poll()) {
                deliver(event);
            }
        } finally {
            inModule = false;
        }
    }

    private void deliver(ModuleEvent event) {
        try {
            event.tell();
        } catch (RuntimeException e) {
            // A fault in the module must not take the other requests with it, nor leave this one
            // open.
            counters.unexpected("unexpected exception", e);
            if (event.exchange != null) {
                settle(event.exchange);
            }
        }
        if (event.exchange != null) {
            forget(event.exchange);
        }
    }

    private void forget(Exchange exchange) {
        if (exchange.over && exchange.pending == 0 && exchanges.remove(exchange.id) != null) {
            budget.giveBack(exchange.ask.bytes());
        }
    }

    /** Answers by the rules without the module: a refusal only where nothing can have run. */
    private void settle(Exchange exchange) {
        boolean mayRun =
                exchange.mayHaveRun || exchange.attempts.stream().anyMatch(Attempt::written);
        for (Attempt attempt : List.copyOf(exchange.attempts)) {
            // The module hears of it, and may answer by it: what never left is told as such.
            drop(attempt, attempt.written() ? Reason.CANCELLED : Reason.MOOT);
        }
        if (!exchange.over) {
            if (mayRun) {
                answerFailed(exchange);
            } else {
                answerRefused(exchange, RefusalReason.NEVER_SENT, 0);
            }
            post(exchange, () -> router.onClientGone(Clock.now(), exchange.id));
        }
    }

    private void drop(Attempt attempt, Reason reason) {
        if (!attempt.over) {
            pool.abandon(attempt);
            end(attempt, reason, null, null);
        }
    }

    /** Reports the one outcome of an attempt. */
    private void end(Attempt attempt, Reason reason, Reply answer, ValueStream value) {
        if (attempt.over) {
            if (value != null) {
                value.cancel();
            }
            return;
        }
        attempt.over = true;
        attempt.ended = reason;
        trace(attempt.exchange, "attempt-ended", reason);
        if (attempt.cut != null) {
            attempt.cut.cancel(false);
        }
        counters.outcome(reason);
        Exchange exchange = attempt.exchange;
        exchange.mayHaveRun |= !reason.neverRan;
        post(new Ended(attempt, reason, answer, value));
    }

    private void answerRefused(Exchange exchange, RefusalReason reason, long retryAfterMs) {
        counters.refused(reason);
        trace(exchange, "refused", reason);
        witness.onRefused();
        if (close(exchange)) {
            exchange.client.refused(retryAfterMs);
        }
    }

    private void answerFailed(Exchange exchange) {
        counters.failed++;
        trace(exchange, "failed", null);
        witness.onFailed();
        if (close(exchange)) {
            exchange.client.failed();
        }
    }

    /**
     * True the first time; a request that found no room was never in the ledger, and its id is its
     * own.
     */
    private boolean close(Exchange exchange) {
        if (!exchange.close()) {
            return false;
        }
        long late = exchange.lateness(Clock.now());
        if (late > MOST_LATE) {
            counters.violated(
                    Violation.UNANSWERED,
                    exchange.ask.id() + ": for " + late / Clock.MILLISECOND + " ms past its time");
        }
        if (exchanges.containsKey(exchange.id)) {
            openIds.remove(exchange.ask.id());
        }
        return true;
    }

    // What the module asks for, carried out in its order.

    @Override
    public void send(long request, long server, long cutAt) {
        Exchange exchange = exchanges.get(request);
        if (exchange == null) {
            counters.noise("send for a request that is over: " + request);
            return;
        }
        long now = Clock.now();
        long cut = cutAt <= 0 ? exchange.answerBy : Math.min(cutAt, exchange.answerBy);
        Attempt attempt =
                new Attempt(
                        exchange, exchange.attempts.size(), server, now, cut, witness.sequence());
        if (attempt.number > 0) {
            counters.repeated(exchange.attempts.get(attempt.number - 1).ended);
        }
        exchange.attempts.add(attempt);
        exchange.pending++;
        boolean tooMany = exchange.attempts.size() > site().settings.maxAttempts();
        if (exchange.over || tooMany || now >= exchange.answerBy) {
            end(attempt, Reason.MOOT, null, null);
        } else if (now >= cut) {
            end(attempt, Reason.TIMEOUT, null, null);
        } else {
            attempt.cut = loop.schedule(new Cut(attempt), cut - now, TimeUnit.NANOSECONDS);
            pool.send(attempt, server);
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && attempt < exchange.attempts.size()) {
            drop(exchange.attempts.get(attempt), Reason.CANCELLED);
        }
    }

    @Override
    public void refuse(long request, long retryAfter) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && !exchange.over) {
            Api.Settings settings = site().settings;
            long most = settings.retryAfter() ? Math.min(retryAfter, settings.maxRetryAfter()) : 0;
            answerRefused(
                    exchange,
                    RefusalReason.DECIDED,
                    (most + Clock.MILLISECOND - 1) / Clock.MILLISECOND);
        }
    }

    @Override
    public void fail(long request) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && !exchange.over) {
            answerFailed(exchange);
        }
    }

    @Override
    public void wakeAt(long moment, int token) {
        loop.schedule(
                new Timer(moment, token), Math.max(0, moment - Clock.now()), TimeUnit.NANOSECONDS);
    }

    @Override
    public void closeIdle(long server) {
        pool.closeIdle(server);
    }

    @Override
    public void subscribe() {
        discovery.subscribe();
    }
}
