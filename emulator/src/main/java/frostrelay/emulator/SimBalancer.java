package frostrelay.emulator;

import frostrelay.policy.Api;
import frostrelay.policy.Api.Reason;

import org.agrona.collections.Long2LongHashMap;
import org.agrona.collections.Long2ObjectHashMap;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * One balancer: the real decision module with a ledger of open requests round it, as the real
 * balancer has one. Its one core takes a while for each event; what comes meanwhile waits.
 */
final class SimBalancer implements Api.Actions, SimDiscovery.Subscriber {
    /** Makes the decision module. */
    interface Module {
        Api.Events create(Api.Settings settings, long seed, Api.Actions actions);
    }

    /** A request as a client made it; hears its one final answer. */
    interface Caller {
        Api.Request request(long id, long deadline);

        long waits();

        int key();

        /** Nanoseconds of a cache's core. */
        double work();

        boolean write();

        /** It took effect at a cache. */
        void ran(long now);

        /** {@code comeAgain}: nanoseconds to wait, for a refusal. */
        void answered(long now, Answer answer, long comeAgain);
    }

    /** A final answer; LOST where the balancer died with it. */
    enum Answer {
        SERVED,
        REFUSED,
        FAILED,
        LOST
    }

    private static final long MILLISECOND = 1_000_000L;
    private static final long WAYS = 6 * MILLISECOND;
    private static final float[] NO_REPORT = {};
    private static final int NO_LINK = -1;

    private static final class Exchange {
        final long id;
        final Caller caller;
        final long deadline;
        final List<Attempt> attempts = new ArrayList<>(2);
        int pending;
        boolean over;

        /** Its end at the latest, on the timeline. */
        long end = Timeline.NO_MARK;

        Exchange(long id, Caller caller, long deadline) {
            this.id = id;
            this.caller = caller;
            this.deadline = deadline;
        }
    }

    private final class Attempt implements SimCache.Job {
        final Exchange exchange;
        final int number;
        final long sentAt;
        final int mine = life;
        boolean over;
        long timeout = Timeline.NO_MARK;
        Api.Source source = Api.Source.UNKNOWN;
        int place;

        /**
         * In which life of the cache its connection came up, {@link #NO_LINK} while it has none.
         */
        int link = NO_LINK;

        /** The first on its connection bears the handshake's work. */
        boolean first;

        /** It is on its way: it may run. */
        boolean written;

        boolean told = true;

        Attempt(Exchange exchange, int number, long sentAt) {
            this.exchange = exchange;
            this.number = number;
            this.sentAt = sentAt;
        }

        @Override
        public int key() {
            return exchange.caller.key();
        }

        @Override
        public double work() {
            return exchange.caller.work() + (first ? linkSpec.work() : 0);
        }

        @Override
        public boolean write() {
            return exchange.caller.write();
        }

        @Override
        public boolean told() {
            return told;
        }

        @Override
        public boolean dropped() {
            return over || mine != life;
        }

        @Override
        public void ran(long now) {
            exchange.caller.ran(now);
        }

        @Override
        public void ended(long now, SimCache.End end) {
            Reason reason =
                    switch (end) {
                        case SERVED, HIT, FETCHED -> Reason.OK;
                        case FAILED -> Reason.ERROR;
                        case BUSY -> Reason.REJECTED;
                        case REFUSED -> Reason.CONNECT_FAILED;
                        case RESET -> Reason.RESET;
                    };
            source =
                    switch (end) {
                        case HIT -> Api.Source.CACHE;
                        case FETCHED -> Api.Source.FETCH;
                        default -> Api.Source.UNKNOWN;
                    };
            if (!wire.losesAnswer() && wire.passes(zone, zone(place))) {
                timeline.at(
                        now + wire.delay(zone(place), zone),
                        then -> busy(then, at -> SimBalancer.this.ended(at, this, reason)));
            }
        }
    }

    private final Plant.Balancer spec;
    private final Plant.Links linkSpec;
    private final Timeline timeline;
    private final Wire wire;
    private final SimDiscovery discovery;

    /** What answers at the address that a place's id is listed with. */
    private final List<SimCache> addresses;

    private final Long2LongHashMap places;
    private final Module module;
    private final Api.Settings settings;
    private final int zone;
    private final int zones;
    private final long seed;
    private final Long2ObjectHashMap<Exchange> exchanges = new Long2ObjectHashMap<>();

    /** Caches that nothing sent from here reaches. */
    private final BitSet cut = new BitSet();

    private final SimReferee referee;

    /** Connections; null where they are not part of the model. */
    private final SimLinks links;

    /**
     * Since when this balancer has been told that a cache drains or is gone; 0 where it has not.
     */
    private final long[] leavingSince;

    private Set<Long> held = Set.of();
    private Api.Events router;
    private int life;
    private boolean down;
    private boolean leaving;
    private long freeAt;
    private long lastId;
    private long now;
    private long sends;
    private long copies;
    private long served;

    /** {@code seed}: of its module; its zone is that of its settings. */
    SimBalancer(
            Plant plant,
            Timeline timeline,
            Wire wire,
            SimDiscovery discovery,
            List<SimCache> addresses,
            Long2LongHashMap places,
            Module module,
            Api.Settings settings,
            SimReferee referee,
            long seed) {
        this.referee = referee;
        this.leavingSince = new long[addresses.size()];
        this.spec = plant.balancer();
        this.linkSpec = plant.links();
        this.zones = plant.zones();
        this.zone = settings.zone();
        this.timeline = timeline;
        this.wire = wire;
        this.discovery = discovery;
        this.addresses = addresses;
        this.places = places;
        this.module = module;
        this.settings = settings;
        this.seed = seed;
        links = linkSpec.modelled() ? new SimLinks(linkSpec, addresses) : null;
        start(0);
    }

    private int zone(int place) {
        return place % zones;
    }

    /** Begins anew, knowing the list as it was last. */
    void start(long at) {
        down = false;
        leaving = false;
        now = at;
        router = module.create(settings, seed + life, this);
        router.onHolds(at, held);
        List<Api.Server> list = discovery.list();
        note(at, Api.ListMode.CACHED, list);
        router.onList(at, Api.ListMode.CACHED, list);
    }

    private void note(long at, Api.ListMode mode, List<Api.Server> servers) {
        if (mode != Api.ListMode.FAILED) {
            for (Api.Server server : servers) {
                leave(
                        (int) places.get(server.id()),
                        at,
                        server.state() != Api.State.READY || held.contains(server.id()));
            }
        }
    }

    private void leave(int place, long at, boolean leaves) {
        leavingSince[place] =
                !leaves ? 0 : leavingSince[place] == 0 ? Math.max(1, at) : leavingSince[place];
    }

    /** Operators hold these caches out of use, all of them and no others. */
    void hold(long at, Set<Long> ids) {
        held.forEach(id -> leave((int) places.get((long) id), at, ids.contains(id)));
        ids.forEach(id -> leave((int) places.get((long) id), at, true));
        held = Set.copyOf(ids);
        if (!down) {
            now = at;
            router.onHolds(at, held);
        }
    }

    /** A planned restart: nothing new comes, what is open is served, and then it begins anew. */
    void restart(long at, long longest) {
        leaving = true;
        int mine = life;
        timeline.at(
                at + longest,
                then -> {
                    if (mine == life) {
                        kill(then);
                        start(then);
                    }
                });
    }

    /** Dies with everything it holds. */
    void kill(long at) {
        down = true;
        life++;
        if (links != null) {
            links.closeAll();
        }
        discovery.forget(this);
        List<Exchange> lost = new ArrayList<>(exchanges.values());
        exchanges.clear();
        lost.stream()
                .filter(exchange -> !exchange.over)
                .sorted(Comparator.comparingLong(exchange -> exchange.id))
                .forEach(exchange -> exchange.caller.answered(at, Answer.LOST, 0));
    }

    /** A partition: what is sent to these caches is lost on the way. */
    void cutOff(int place, boolean on) {
        cut.set(place, on);
    }

    /** Whether nothing new is to come here. */
    boolean isDown() {
        return down || leaving;
    }

    int zone() {
        return zone;
    }

    /** Runs an action once the core is free for it. */
    private void busy(long at, Event action) {
        if (spec.cost() == 0) {
            now = at;
            action.happen(at);
            return;
        }
        freeAt = Math.max(at, freeAt) + spec.cost();
        int mine = life;
        timeline.at(
                freeAt,
                then -> {
                    if (mine == life) {
                        now = then;
                        action.happen(then);
                    }
                });
    }

    /** A request arrives; returns under which number it can be taken back. */
    long take(long at, Caller caller) {
        long id = ++lastId;
        if (down) {
            caller.answered(at, Answer.LOST, 0);
            return id;
        }
        Exchange exchange = new Exchange(id, caller, at + caller.waits() - WAYS);
        exchanges.put(id, exchange);
        int mine = life;
        exchange.end =
                timeline.at(
                        exchange.deadline + MILLISECOND,
                        then -> {
                            if (mine == life && !exchange.over) {
                                // The module has left it open past its deadline: one answer is owed
                                // all the same.
                                referee.broken(SimReferee.Rule.LEFT_OPEN);
                                now = then;
                                finish(exchange, Answer.FAILED, 0);
                                router.onClientGone(then, id);
                            }
                        });
        busy(
                at,
                then -> {
                    // Its client may have left while it waited for the core.
                    if (!exchange.over) {
                        router.onRequest(then, caller.request(id, exchange.deadline));
                    }
                });
        return id;
    }

    /** Its client waits no longer. */
    void gone(long at, long id) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && !exchange.over) {
            exchange.over = true;
            timeline.cancel(exchange.end);
            now = at;
            router.onClientGone(at, id);
            forget(exchange);
        }
    }

    private void finish(Exchange exchange, Answer answer, long comeAgain) {
        exchange.over = true;
        timeline.cancel(exchange.end);
        Caller caller = exchange.caller;
        timeline.at(now + wire.delay(), then -> caller.answered(then, answer, comeAgain));
        forget(exchange);
    }

    private void forget(Exchange exchange) {
        if (exchange.over && exchange.pending == 0) {
            exchanges.remove(exchange.id);
        }
    }

    private void ended(long at, Attempt attempt, Reason reason) {
        if (attempt.over || attempt.mine != life) {
            return;
        }
        attempt.over = true;
        timeline.cancel(attempt.timeout);
        release(at, attempt, reason);
        Exchange exchange = attempt.exchange;
        exchange.pending--;
        now = at;
        if (reason == Reason.OK && !exchange.over) {
            served++;
            finish(exchange, Answer.SERVED, 0);
        }
        router.onOutcome(
                at,
                new Api.Outcome(
                        exchange.id,
                        attempt.number,
                        reason,
                        at - attempt.sentAt,
                        exchange.over,
                        attempt.source,
                        NO_REPORT));
        forget(exchange);
    }

    @Override
    public void onList(long at, Api.ListMode mode, List<Api.Server> servers) {
        if (!down) {
            now = at;
            note(at, mode, servers);
            router.onList(at, mode, servers);
        }
    }

    // What the module asks for. Outcomes that come at once are events of their own: the module is
    // not reentrant.

    @Override
    public void send(long request, long server, long cutAt) {
        Exchange exchange = exchanges.get(request);
        if (exchange == null) {
            return;
        }
        Attempt attempt = new Attempt(exchange, exchange.attempts.size(), now);
        exchange.attempts.add(attempt);
        exchange.pending++;
        if (exchange.over || exchange.attempts.size() > spec.maxAttempts()) {
            timeline.at(now, then -> ended(then, attempt, Reason.MOOT));
            return;
        }
        sends++;
        copies += exchange.attempts.size() > 1 ? 1 : 0;
        long until = cutAt <= 0 ? exchange.deadline : Math.min(cutAt, exchange.deadline);
        // What never left cannot have run: its connection did not come up in time.
        attempt.timeout =
                timeline.at(
                        until,
                        then ->
                                ended(
                                        then,
                                        attempt,
                                        attempt.written ? Reason.TIMEOUT : Reason.CONNECT_FAILED));
        attempt.place = (int) places.get(server);
        if (leavingSince[attempt.place] != 0
                && now - leavingSince[attempt.place] > Emulation.DRAIN_GRACE) {
            referee.broken(SimReferee.Rule.SENT_TO_DRAINING);
        }
        if (links == null) {
            write(now, attempt);
        } else if (links.take(now, attempt.place)) {
            attempt.link = links.life(attempt.place);
            write(now, attempt);
        } else if (links.room(now)) {
            connect(attempt);
        } else {
            timeline.at(now, then -> ended(then, attempt, Reason.MOOT));
        }
    }

    private boolean reaches(int place) {
        return !cut.get(place) && wire.passes(zone, zone(place));
    }

    private void connect(Attempt attempt) {
        links.begin();
        int place = attempt.place;
        long begun = now;
        long trip =
                wire.delay(zone, zone(place))
                        + wire.delay(zone(place), zone)
                        + linkSpec.handshake();
        timeline.at(
                begun + trip,
                then -> {
                    if (attempt.mine != life) {
                        return;
                    }
                    Boolean up = reaches(place) ? addresses.get(place).link() : null;
                    if (up == null) {
                        timeline.at(begun + linkSpec.timeout(), at -> unconnected(at, attempt));
                    } else if (!up) {
                        unconnected(then, attempt);
                    } else {
                        links.up(then, place);
                        if (attempt.over) {
                            // Cancelled while it came up: nothing was written, and it is kept.
                            links.free(then, place, links.life(place));
                        } else {
                            attempt.link = links.life(place);
                            attempt.first = true;
                            now = then;
                            write(then, attempt);
                        }
                    }
                });
    }

    private void unconnected(long at, Attempt attempt) {
        if (attempt.mine == life) {
            links.failed();
            busy(at, then -> ended(then, attempt, Reason.CONNECT_FAILED));
        }
    }

    private void write(long at, Attempt attempt) {
        attempt.written = true;
        if (wire.loses() || !reaches(attempt.place)) {
            return;
        }
        SimCache cache = addresses.get(attempt.place);
        attempt.told = cache.place() == attempt.place;
        boolean reset = wire.resets();
        timeline.at(
                at + wire.delay(zone, zone(attempt.place)),
                then -> {
                    if (reset) {
                        timeline.at(
                                then + wire.delay(zone(attempt.place), zone),
                                back -> ended(back, attempt, Reason.RESET));
                    }
                    // Of those that are reset every other one has come, and may run.
                    if (!reset || (attempt.exchange.id & 1) == 0) {
                        cache.accept(then, attempt);
                    }
                });
    }

    /**
     * A connection is free after an answer; given up under a request it is closed, as the answer
     * may still come.
     */
    private void release(long at, Attempt attempt, Reason reason) {
        if (attempt.link == NO_LINK) {
            return;
        }
        if (reason.answered() || reason == Reason.ERROR || reason == Reason.REJECTED) {
            links.free(at, attempt.place, attempt.link);
        } else {
            links.close(attempt.place, attempt.link);
        }
        attempt.link = NO_LINK;
    }

    @Override
    public void cancel(long request, int attempt) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && attempt < exchange.attempts.size()) {
            Attempt cancelled = exchange.attempts.get(attempt);
            timeline.at(now, then -> ended(then, cancelled, Reason.CANCELLED));
        }
    }

    @Override
    public void refuse(long request, long retryAfter) {
        answer(request, Answer.REFUSED, Math.min(retryAfter, settings.maxRetryAfter()));
    }

    @Override
    public void fail(long request) {
        answer(request, Answer.FAILED, 0);
    }

    private void answer(long request, Answer answer, long comeAgain) {
        Exchange exchange = exchanges.get(request);
        if (exchange == null || exchange.over) {
            referee.broken(SimReferee.Rule.ANSWERED_TWICE);
        } else {
            finish(exchange, answer, comeAgain);
        }
    }

    @Override
    public void wakeAt(long moment, int token) {
        int mine = life;
        timeline.at(
                moment,
                then -> {
                    if (mine == life) {
                        now = then;
                        router.onTimer(then, token);
                    }
                });
    }

    @Override
    public void closeIdle(long server) {
        if (links != null) {
            links.closeIdle((int) places.get(server));
        }
    }

    @Override
    public void subscribe() {
        discovery.subscribe(now, this);
    }

    /** Requests that came here, also while it was down. */
    long taken() {
        return lastId;
    }

    long sends() {
        return sends;
    }

    /** Requests that were served from here. */
    long served() {
        return served;
    }

    /** Connections that were begun. */
    long handshakes() {
        return links == null ? 0 : links.handshakes();
    }

    /** Sends beyond the first of a request. */
    long copies() {
        return copies;
    }
}
