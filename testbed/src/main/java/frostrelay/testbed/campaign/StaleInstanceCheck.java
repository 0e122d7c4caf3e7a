package frostrelay.testbed.campaign;

import frostrelay.testbed.campaign.EventHistory.ProcessEvent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What the stand-ins saw of balancers that lag behind: sends to caches that another, which could be
 * heard, knew as not to be used; who acts on what at the end; how many were aside at once. A pure
 * function; it shares no code with the balancer.
 */
final class StaleInstanceCheck {
    private static final long MILLISECOND_NANOS = 1_000_000L;

    /**
     * What another was told it acts on and tells within this: the drain's grace, and news at its
     * slowest in calm.
     */
    private static final long PROPAGATION_NANOS = 1_000 * MILLISECOND_NANOS;

    private static final long CONVERGENCE_NANOS = 2_000 * MILLISECOND_NANOS;
    private static final double MAX_LOOK_ASIDE_FRACTION = 0.25;
    private static final int LOOK_ASIDE_STRIDE = 4;

    /** Caches of six that hearsay may take away. */
    private static final int MAX_AVOIDED_CACHES = 2;

    /** Sends that slip through while a peer is suspected or its word is lost again and again. */
    private static final int MAX_STALE_SENDS = 12;

    private static final long WINDOW_NANOS = 2_000 * MILLISECOND_NANOS;
    private static final int MIN_SENDS_PER_WINDOW = 50;

    /**
     * From being let go to being used as before: operators may have restarted it, and here a cache
     * warms up for so long.
     */
    private static final long SLOW_START_NANOS = 20_000 * MILLISECOND_NANOS;

    private static final long CRASH_WINDOW_NANOS = 3_000 * MILLISECOND_NANOS;

    /** The platform's slack for drains. */
    private static final long DRAIN_GRACE_NANOS = 500 * MILLISECOND_NANOS;

    /**
     * A frozen one knows so soon behind its thaw that it is behind: 300 ms of hearing a peer, and
     * the console's call.
     */
    private static final long DETECTION_NANOS = 300 * MILLISECOND_NANOS;

    /**
     * Proof, probation, two looks at the file, and the pieces from another, where datagrams are not
     * held up.
     */
    private static final long CONFIG_TRANSFER_NANOS = 12_000 * MILLISECOND_NANOS;

    /**
     * Thirty pieces, three at a time: so many ways there and back, each longer by twice the delay.
     */
    private static final int TRANSFER_ROUNDS = 10;

    /** When, by the rig's clock, something of a life was. */
    interface Moments {
        long of(AuditRecord life, long at);
    }

    private final EventHistory history;
    private final List<String> names;
    private final Map<String, List<AuditRecord>> records;
    private final List<long[]> lookAsideSteps;
    private final Moments moments;
    private final long endNanos;
    private final List<Violation> violations = new ArrayList<>();
    private int staleSends;
    private int provablyStaleSends;
    private int commands;
    private int maxLookAside;
    private int sendsToDrained;
    private int lateSends;

    /** Milliseconds from the end of all faults to being told the newest list, by balancer. */
    private final List<Long> convergedAfterMillis = new ArrayList<>();

    /**
     * {@code lookAsideSteps}: who stepped aside (1) or came back (-1), as {moment, balancer, step},
     * in the order of the moments.
     */
    StaleInstanceCheck(
            EventHistory history,
            Map<String, List<AuditRecord>> records,
            List<String> names,
            List<long[]> lookAsideSteps,
            Moments moments,
            long endNanos) {
        this.moments = moments;
        this.history = history;
        this.records = records;
        this.names = names;
        this.lookAsideSteps = lookAsideSteps;
        this.endNanos = endNanos;
    }

    List<Violation> run() {
        checkStaleSends();
        checkSendsAfterUpdates();
        checkAdminDrains();
        checkTraffic();
        checkConvergence();
        checkUnsignalledConfigs();
        checkConfigTransfers();
        checkHarmfulConfigs();
        checkSnapshots();
        checkLookAside();
        return violations;
    }

    Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("staleSends", staleSends);
        figures.put("staleProvedSends", provablyStaleSends);
        figures.put("sends", commands);
        figures.put("mostAside", maxLookAside);
        figures.put("heldSends", sendsToDrained);
        figures.put("lateSends", lateSends);
        figures.put("currentAfterMs", convergedAfterMillis);
        return figures;
    }

    /**
     * Sends to a cache that another, which this one could hear, had been told is not to be used a
     * while before.
     */
    private void checkStaleSends() {
        Map<String, List<EventHistory.EndpointUpdate>> updatesByBalancer = new HashMap<>();
        history.recordNotification()
                .forEach(
                        one ->
                                updatesByBalancer
                                        .computeIfAbsent(one.balancer(), name -> new ArrayList<>())
                                        .add(one));
        Map<Long, Map<String, String>> versions = history.versions();
        Map<String, Integer> proved = new HashMap<>();
        for (EventHistory.Command command : history.commands()) {
            commands++;
            long newest =
                    names.stream()
                            .mapToLong(
                                    name -> revisionAt(updatesByBalancer, name, command.atNanos()))
                            .max()
                            .orElse(1);
            if (isUsable(versions, newest, command.cache())) {
                // Two may act on a list by which it drains, and a newer one that others act on has
                // it back.
                continue;
            }
            int informedPeers = 0;
            long mine = revisionAt(updatesByBalancer, command.balancer(), command.atNanos());
            int me = names.indexOf(command.balancer());
            for (String other : names) {
                int them = names.indexOf(other);
                if (them == me
                        || !ranThroughout(
                                them, command.atNanos() - 2 * PROPAGATION_NANOS, command.atNanos())
                        || isPartitioned(
                                them,
                                me,
                                command.atNanos() - 2 * PROPAGATION_NANOS,
                                command.atNanos())) {
                    continue;
                }
                long before =
                        revisionAt(updatesByBalancer, other, command.atNanos() - PROPAGATION_NANOS);
                long now = revisionAt(updatesByBalancer, other, command.atNanos());
                if (before > mine
                        && !isUsable(versions, before, command.cache())
                        && !isUsable(versions, now, command.cache())) {
                    informedPeers++;
                }
            }
            staleSends += informedPeers > 0 ? 1 : 0;
            Map<String, String> localList = versions.getOrDefault(mine, Map.of());
            Map<String, String> theirs = versions.getOrDefault(newest, Map.of());
            List<String> ready =
                    localList.keySet().stream()
                            .filter(cache -> localList.get(cache).startsWith("Ready"))
                            .toList();
            long out =
                    ready.stream()
                            .filter(
                                    cache ->
                                            !theirs.getOrDefault(cache, "").startsWith("Ready")
                                                    || isRecentlyAdminDrained(
                                                            cache,
                                                            command.atNanos(),
                                                            PROPAGATION_NANOS * 2))
                            .count();
            // Two that could be heard knew it, no more caches are away than may be avoided, and it
            // had time to hear them.
            if (informedPeers >= 2
                    && out <= Math.ceil(ready.size() / 3.0)
                    && ranThroughout(
                            me, command.atNanos() - 2 * PROPAGATION_NANOS, command.atNanos())) {
                proved.merge(command.balancer(), 1, Integer::sum);
                provablyStaleSends++;
            }
        }
        proved.forEach(
                (name, sends) -> {
                    if (sends > MAX_STALE_SENDS) {
                        violations.add(
                                new Violation(
                                        "hearsay",
                                        name
                                                + " sent "
                                                + sends
                                                + " commands to caches that two others, which it"
                                                + " could hear, had known as draining for a second and more"));
                    }
                });
    }

    /**
     * Half a second after a balancer was told that a cache is not to be used, it sends nothing new
     * to it. A balancer that was frozen has half a second from its return.
     */
    private void checkSendsAfterUpdates() {
        Map<String, List<EventHistory.EndpointUpdate>> updatesByBalancer = new HashMap<>();
        history.recordNotification()
                .forEach(
                        one ->
                                updatesByBalancer
                                        .computeIfAbsent(one.balancer(), name -> new ArrayList<>())
                                        .add(one));
        Map<String, Integer> late = new HashMap<>();
        Map<String, Long> came = new HashMap<>();
        history.commands()
                .forEach(
                        one ->
                                came.putIfAbsent(
                                        one.balancer() + ' ' + one.cache() + ' ' + one.id(),
                                        one.atNanos()));
        // By the balancer's own record of its writes, which the audit holds against what came: ways
        // may be slow. A record's
        // moments may be late by what its process stood still while it started; what came was
        // written before.
        records.forEach(
                (name, lives) ->
                        lives.forEach(
                                life ->
                                        life.sent.forEach(
                                                sent -> {
                                                    long at =
                                                            Math.min(
                                                                    moments.of(
                                                                            life, sent.atNanos()),
                                                                    came.getOrDefault(
                                                                            name
                                                                                    + ' '
                                                                                    + sent.cache()
                                                                                    + ' '
                                                                                    + sent.id(),
                                                                            Long.MAX_VALUE));
                                                    EventHistory.Command command =
                                                            new EventHistory.Command(
                                                                    at,
                                                                    sent.cache(),
                                                                    name,
                                                                    sent.id());
                                                    if (isDrainedFor(
                                                            updatesByBalancer,
                                                            command,
                                                            DRAIN_GRACE_NANOS)) {
                                                        lateSends++;
                                                        late.merge(
                                                                name + " to " + sent.cache(),
                                                                1,
                                                                Integer::sum);
                                                    }
                                                })));
        late.forEach(
                (who, sends) ->
                        violations.add(
                                new Violation(
                                        "told",
                                        who
                                                + ": "
                                                + sends
                                                + " commands later than half a second after being told that it is not to be used")));
    }

    /**
     * Whether, when a command was written, its balancer had been told for so long that the cache is
     * not to be used, and ran all the while.
     */
    private boolean isDrainedFor(
            Map<String, List<EventHistory.EndpointUpdate>> updatesByBalancer,
            EventHistory.Command command,
            long span) {
        Map<Long, Map<String, String>> versions = history.versions();
        return !isUsable(
                        versions,
                        revisionAt(updatesByBalancer, command.balancer(), command.atNanos() - span),
                        command.cache())
                && updatesByBalancer.getOrDefault(command.balancer(), List.of()).stream()
                        .filter(
                                one ->
                                        one.atNanos() >= command.atNanos() - span
                                                && one.atNanos() <= command.atNanos())
                        .noneMatch(one -> isUsable(versions, one.rev(), command.cache()))
                && ranThroughout(
                        names.indexOf(command.balancer()),
                        command.atNanos() - span,
                        command.atNanos());
    }

    /**
     * Where two others' operators hold a cache that this one was not told of, it leaves it alone as
     * well, soon.
     */
    private void checkAdminDrains() {
        Map<String, Integer> sends = new HashMap<>();
        for (EventHistory.Command command : history.commands()) {
            int me = names.indexOf(command.balancer());
            int holders = 0;
            for (int other = 0; other < names.size(); other++) {
                boolean holds =
                        other != me
                                && isAdminDrainedThroughout(
                                        other,
                                        command.cache(),
                                        command.atNanos() - 2 * PROPAGATION_NANOS,
                                        command.atNanos());
                holders +=
                        holds
                                        && ranThroughout(
                                                other,
                                                command.atNanos() - 2 * PROPAGATION_NANOS,
                                                command.atNanos())
                                        && !isPartitioned(
                                                other,
                                                me,
                                                command.atNanos() - 2 * PROPAGATION_NANOS,
                                                command.atNanos())
                                ? 1
                                : 0;
            }
            if (holders >= 2
                    && ranThroughout(
                            me, command.atNanos() - 2 * PROPAGATION_NANOS, command.atNanos())) {
                sendsToDrained++;
                sends.merge(command.balancer(), 1, Integer::sum);
            }
        }
        sends.forEach(
                (name, count) -> {
                    if (count > MAX_STALE_SENDS) {
                        violations.add(
                                new Violation(
                                        "held",
                                        name
                                                + " sent "
                                                + count
                                                + " commands to a cache that two others hold, which it"
                                                + " could hear, for two seconds and more"));
                    }
                });
    }

    private boolean isAdminDrainedThroughout(int balancer, String cache, long from, long to) {
        boolean holds = false;
        for (EventHistory.AdminDrain one : history.adminDrains()) {
            if (one.balancer() == balancer && one.cache().equals(cache)) {
                if (one.atNanos() > from && one.atNanos() <= to) {
                    return false;
                }
                holds = one.atNanos() <= from ? one.drained() : holds;
            }
        }
        return holds;
    }

    /**
     * No balancer leaves more caches alone than hearsay may take away, and at the end hardly any
     * that its list names. A balancer sends so much that a cache of six that it uses is not passed
     * over by chance for two seconds.
     */
    private void checkTraffic() {
        Map<Long, Map<String, String>> versions = history.versions();
        Map<String, List<EventHistory.EndpointUpdate>> updatesByBalancer = new HashMap<>();
        history.recordNotification()
                .forEach(
                        one ->
                                updatesByBalancer
                                        .computeIfAbsent(one.balancer(), name -> new ArrayList<>())
                                        .add(one));
        long newest = versions.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
        boolean lies =
                history.spans().stream()
                        .anyMatch(span -> span.faultEvent().kind() == FaultEvent.Kind.FORGE);
        for (String name : names) {
            int balancer = names.indexOf(name);
            for (long from = WINDOW_NANOS;
                    from + WINDOW_NANOS <= endNanos;
                    from += WINDOW_NANOS / 2) {
                long to = from + WINDOW_NANOS;
                long begin = from;
                Map<String, Integer> sends = new HashMap<>();
                history.commands().stream()
                        .filter(
                                one ->
                                        one.balancer().equals(name)
                                                && one.atNanos() >= begin
                                                && one.atNanos() < to)
                        .forEach(one -> sends.merge(one.cache(), 1, Integer::sum));
                int all = sends.values().stream().mapToInt(Integer::intValue).sum();
                if (all < MIN_SENDS_PER_WINDOW
                        || !ranThroughout(balancer, from - WINDOW_NANOS, to)
                        || isCutFromCaches(balancer, from, to)) {
                    continue;
                }
                Map<String, String> list =
                        versions.getOrDefault(revisionAt(updatesByBalancer, name, from), Map.of());
                Map<String, String> later =
                        versions.getOrDefault(revisionAt(updatesByBalancer, name, to), Map.of());
                long alone =
                        list.keySet().stream()
                                .filter(
                                        cache ->
                                                list.get(cache).startsWith("Ready")
                                                        && !isRecentlyAdminDrained(
                                                                cache,
                                                                to,
                                                                SLOW_START_NANOS + WINDOW_NANOS)
                                                        && later.getOrDefault(cache, "")
                                                                .startsWith("Ready")
                                                        && !sends.containsKey(cache))
                                .count();
                // One alone is believed for six seconds, and may have lied just before the end.
                boolean last =
                        to + WINDOW_NANOS / 2 > endNanos
                                && revisionAt(updatesByBalancer, name, from) >= newest
                                && !lies;
                if (alone > (last ? 1 : MAX_AVOIDED_CACHES)) {
                    violations.add(
                            new Violation(
                                    "traffic",
                                    String.format(
                                            Locale.ROOT,
                                            "%s sent nothing to %d caches that its list names as ready, from %.1f to %.1f s, and %d commands to"
                                                    + " others",
                                            name,
                                            alone,
                                            from / 1e9,
                                            to / 1e9,
                                            all)));
                }
            }
        }
    }

    /** Whether operators hold it anywhere at that moment, or did so a while before. */
    private boolean isRecentlyAdminDrained(String cache, long at, long before) {
        Map<Integer, Boolean> on = new HashMap<>();
        boolean lately = false;
        for (EventHistory.AdminDrain one : history.adminDrains()) {
            if (one.cache().equals(cache) && one.atNanos() <= at) {
                on.put(one.balancer(), one.drained());
                lately |= one.atNanos() > at - before;
            }
        }
        return lately || on.containsValue(true);
    }

    private boolean isCutFromCaches(int balancer, long from, long to) {
        return history.spans().stream()
                .anyMatch(
                        span ->
                                span.fromNanos() <= to
                                        && span.toNanos() >= from
                                        && (span.faultEvent().kind()
                                                        == FaultEvent.Kind.CACHE_RESTART
                                                || span.faultEvent().kind()
                                                                == FaultEvent.Kind.CACHE_CUT
                                                        && span.faultEvent()
                                                                .balancers()
                                                                .contains(balancer)));
    }

    private static boolean isUsable(
            Map<Long, Map<String, String>> versions, long rev, String cache) {
        Map<String, String> list = versions.get(rev);
        return list == null || list.getOrDefault(cache, "").startsWith("Ready");
    }

    private long revisionAt(
            Map<String, List<EventHistory.EndpointUpdate>> updatesByBalancer,
            String balancer,
            long at) {
        long rev = 1;
        for (EventHistory.EndpointUpdate one :
                updatesByBalancer.getOrDefault(balancer, List.of())) {
            if (one.atNanos() <= at) {
                rev = Math.max(rev, one.rev());
            }
        }
        return rev;
    }

    private boolean ranThroughout(int balancer, long from, long to) {
        boolean up = false;
        for (EventHistory.ProcessChange one : history.processes()) {
            if (one.balancer() == balancer
                    && one.event() != ProcessEvent.WALL
                    && one.atNanos() <= to) {
                up =
                        one.event() == ProcessEvent.STARTED
                                || one.event() == ProcessEvent.THAWED
                                || one.event() == ProcessEvent.FED;
                if (one.atNanos() >= from
                        && one.atNanos() > 0
                        && one.event() != ProcessEvent.STARTED) {
                    return false;
                }
            }
        }
        return up;
    }

    private boolean isPartitioned(int from, int to, long begin, long end) {
        return history.spans().stream()
                .filter(span -> span.fromNanos() <= end && span.toNanos() >= begin)
                .map(EventHistory.FaultSpan::faultEvent)
                .anyMatch(
                        one ->
                                one.kind() == FaultEvent.Kind.PARTITION
                                                && one.balancers().contains(from)
                                                        != one.balancers().contains(to)
                                        || one.kind() == FaultEvent.Kind.SILENCE
                                                && one.balancers().contains(from)
                                                && one.targets().contains(to));
    }

    /** Everything has been healed for a while: all that run act on the newest list. */
    private void checkConvergence() {
        long newest =
                history.versions().keySet().stream().mapToLong(Long::longValue).max().orElse(0);
        long healed =
                history.spans().stream().mapToLong(EventHistory.FaultSpan::toNanos).max().orElse(0);
        long first =
                history.recordNotification().stream()
                        .filter(one -> one.rev() >= newest)
                        .mapToLong(EventHistory.EndpointUpdate::atNanos)
                        .min()
                        .orElse(endNanos);
        for (String name : names) {
            if (ranThroughout(names.indexOf(name), Math.max(healed, first), endNanos)) {
                long updatedAtNanos =
                        history.recordNotification().stream()
                                .filter(one -> one.balancer().equals(name) && one.rev() >= newest)
                                .mapToLong(EventHistory.EndpointUpdate::atNanos)
                                .min()
                                .orElse(endNanos);
                convergedAfterMillis.add(
                        Math.max(0, updatedAtNanos - Math.max(healed, first)) / MILLISECOND_NANOS);
            }
        }
        for (String name : names) {
            int balancer = names.indexOf(name);
            if (!ranThroughout(balancer, endNanos - CONVERGENCE_NANOS, endNanos)) {
                continue;
            }
            long acts =
                    records.getOrDefault(name, List.of()).stream()
                            .flatMap(life -> life.appliedStamps.stream())
                            .mapToLong(AuditRecord.AppliedStamp::listRev)
                            .max()
                            .orElse(0);
            if (acts < newest) {
                violations.add(
                        new Violation(
                                "current",
                                String.format(
                                        Locale.ROOT,
                                        "%s acts on list %d at the end, healed for two seconds; the newest is %d",
                                        name,
                                        acts,
                                        newest)));
            }
        }
    }

    /**
     * Who was given a configuration and no signal has taken it, once others acted on it for a
     * while.
     */
    private void checkUnsignalledConfigs() {
        for (EventHistory.ConfigChange one : history.configured()) {
            if (one.signalled()
                    || one.digest() == 0
                    || isHarmful(one.number())
                    || !ranThroughout(one.balancer(), endNanos - CONVERGENCE_NANOS, endNanos)
                    || one.atNanos() > endNanos - CONFIG_TRANSFER_NANOS
                    || isDisturbed(one.balancer(), one.atNanos(), endNanos)) {
                continue;
            }
            String name = names.get(one.balancer());
            boolean isApplied =
                    records.getOrDefault(name, List.of()).stream()
                            .flatMap(life -> life.appliedStamps.stream())
                            .anyMatch(
                                    acts ->
                                            acts.confNumber() == one.number()
                                                    && acts.confDigest() == one.digest());
            if (!isApplied) {
                violations.add(
                        new Violation(
                                "current",
                                name
                                        + " never took configuration "
                                        + one.number()
                                        + ", which lay in its place and which others acted on"));
            }
        }
    }

    private boolean isHarmful(long number) {
        boolean refusing =
                history.spans().stream()
                        .map(EventHistory.FaultSpan::faultEvent)
                        .anyMatch(
                                one ->
                                        one.kind() == FaultEvent.Kind.CONFIG_HARMFUL
                                                && (long) one.amount() == number);
        // Who took it and was killed right behind that has crashed by it, as far as others can
        // tell.
        long crashed =
                history.configured().stream()
                        .filter(one -> one.number() == number && one.signalled())
                        .filter(
                                one ->
                                        history.processes().stream()
                                                .anyMatch(
                                                        process ->
                                                                process.event()
                                                                                == ProcessEvent
                                                                                        .KILLED
                                                                        && process.balancer()
                                                                                == one.balancer()
                                                                        && process.atNanos()
                                                                                > one.atNanos()
                                                                        && process.atNanos()
                                                                                < one.atNanos()
                                                                                        + CRASH_WINDOW_NANOS))
                        .count();
        return refusing || crashed >= 2;
    }

    /** Whether a balancer did not run, or did not hear the others well, in a part of a span. */
    private boolean isDisturbed(int balancer, long from, long to) {
        return !ranThroughout(balancer, from, to)
                || history.spans().stream()
                        .filter(span -> span.fromNanos() <= to && span.toNanos() >= from)
                        .map(EventHistory.FaultSpan::faultEvent)
                        .anyMatch(
                                one ->
                                        one.kind() == FaultEvent.Kind.PARTITION
                                                || one.kind() == FaultEvent.Kind.SILENCE
                                                || one.kind() == FaultEvent.Kind.LOSS);
    }

    /** A configuration that three others were given and this one was not comes from them, whole. */
    private void checkConfigTransfers() {
        for (EventHistory.ConfigChange one : history.configured()) {
            long number = one.number();
            List<EventHistory.ConfigChange> all =
                    history.configured().stream()
                            .filter(other -> other.number() == number)
                            .toList();
            long last = all.stream().mapToLong(EventHistory.ConfigChange::atNanos).max().orElse(0);
            boolean newest =
                    history.configured().stream().allMatch(other -> other.number() <= number);
            if (number <= 0
                    || !newest
                    || last > endNanos - transferTimeoutNanos(last)
                    || isHarmful(number)
                    || all.stream().mapToLong(EventHistory.ConfigChange::digest).distinct().count()
                            > 1) {
                continue;
            }
            long holders =
                    all.stream()
                            .filter(
                                    other ->
                                            other.signalled()
                                                    && !isDisturbed(
                                                            other.balancer(), last, endNanos))
                            .count();
            for (int i = 0; holders >= 2 && i < names.size(); i++) {
                int lacking = i;
                boolean acts =
                        records.getOrDefault(names.get(i), List.of()).stream()
                                .flatMap(life -> life.appliedStamps.stream())
                                .anyMatch(
                                        stamp ->
                                                stamp.confNumber() == number
                                                        && stamp.confDigest() == one.digest());
                if (all.stream().noneMatch(other -> other.balancer() == lacking)
                        && !isDisturbed(i, last, endNanos)
                        && !acts) {
                    violations.add(
                            new Violation(
                                    "handed",
                                    names.get(i)
                                            + " lacks configuration "
                                            + number
                                            + " and did not get it from "
                                            + holders
                                            + " others that act on it"));
                }
            }
            return;
        }
    }

    /**
     * How long handing over may take: with 200 ms more each way three pieces took half a second in
     * place of a tenth.
     */
    private long transferTimeoutNanos(long since) {
        double delay =
                history.spans().stream()
                        .filter(span -> span.toNanos() >= since)
                        .map(EventHistory.FaultSpan::faultEvent)
                        .filter(one -> one.kind() == FaultEvent.Kind.DELAY)
                        .mapToDouble(FaultEvent::amount)
                        .max()
                        .orElse(0);
        return CONFIG_TRANSFER_NANOS + (long) (2 * TRANSFER_ROUNDS * delay * MILLISECOND_NANOS);
    }

    /** A configuration that harms those who take it is taken by nobody by himself. */
    private void checkHarmfulConfigs() {
        for (EventHistory.ConfigChange one : history.configured()) {
            boolean hasApplied =
                    !one.signalled()
                            && isHarmful(one.number())
                            && records.getOrDefault(names.get(one.balancer()), List.of()).stream()
                                    .flatMap(life -> life.appliedStamps.stream())
                                    .anyMatch(acts -> acts.confNumber() == one.number());
            if (hasApplied) {
                violations.add(
                        new Violation(
                                "harmful",
                                names.get(one.balancer())
                                        + " took configuration "
                                        + one.number()
                                        + " by itself, under which those that were told to take it serve nobody"));
            }
        }
    }

    /**
     * What consoles say: one that was frozen knows soon that it is behind; what cannot be used or
     * has two contents is called so.
     */
    private void checkSnapshots() {
        Map<String, List<EventHistory.EndpointUpdate>> updatesByBalancer = new HashMap<>();
        history.recordNotification()
                .forEach(
                        one ->
                                updatesByBalancer
                                        .computeIfAbsent(one.balancer(), name -> new ArrayList<>())
                                        .add(one));
        for (EventHistory.AdminSnapshot snapshot : history.snapshots()) {
            long thawed = Long.MIN_VALUE;
            for (EventHistory.ProcessChange one : history.processes()) {
                thawed =
                        one.balancer() == snapshot.balancer()
                                        && one.event() == ProcessEvent.THAWED
                                        && one.atNanos() <= snapshot.requestedAtNanos()
                                ? one.atNanos()
                                : thawed;
            }
            String name = names.get(snapshot.balancer());
            long mine =
                    revisionAt(
                            updatesByBalancer,
                            name,
                            snapshot.requestedAtNanos() + DRAIN_GRACE_NANOS);
            List<Long> theirs = new ArrayList<>();
            for (String other : names) {
                if (!other.equals(name)
                        && ranThroughout(
                                names.indexOf(other),
                                snapshot.requestedAtNanos() - 2 * PROPAGATION_NANOS,
                                snapshot.requestedAtNanos())) {
                    theirs.add(
                            revisionAt(
                                    updatesByBalancer,
                                    other,
                                    snapshot.requestedAtNanos() - PROPAGATION_NANOS));
                }
            }
            theirs.sort(null);
            long proved = theirs.size() < 2 ? 0 : theirs.get(theirs.size() - 2);
            Object standing = snapshot.response().get("standing");
            if (standing != null
                    && snapshot.requestedAtNanos() - thawed >= DETECTION_NANOS
                    && snapshot.requestedAtNanos() - thawed < 2 * DETECTION_NANOS
                    && mine < proved
                    && "current".equals(standing)) {
                violations.add(
                        new Violation(
                                "knows",
                                name
                                        + " says "
                                        + (snapshot.requestedAtNanos() - thawed) / MILLISECOND_NANOS
                                        + " ms behind its thaw that it is "
                                        + standing
                                        + " on list "
                                        + mine
                                        + ", and others act on "
                                        + proved));
            }
        }
        checkConfigRejections();
    }

    /**
     * At the end each console names a configuration that it refused as refused, and one number with
     * two contents as a conflict.
     */
    private void checkConfigRejections() {
        Map<Integer, String> last = new HashMap<>();
        history.snapshots()
                .forEach(
                        look ->
                                last.put(
                                        look.balancer(),
                                        String.valueOf(look.response().get("configStanding"))));
        for (EventHistory.FaultSpan span : history.spans()) {
            for (int i : span.faultEvent().balancers()) {
                if (span.faultEvent().kind() == FaultEvent.Kind.CONFIG_UNFIT
                        && last.containsKey(i)
                        && ranThroughout(i, span.fromNanos(), endNanos)
                        && !"refused".equals(last.get(i))) {
                    violations.add(
                            new Violation(
                                    "refused",
                                    names.get(i) + " says of its configuration: " + last.get(i)));
                }
                if (span.faultEvent().kind() == FaultEvent.Kind.CONFIG_OTHER
                        && last.containsKey(i)
                        && ranThroughout(i, span.fromNanos(), endNanos)
                        && !"conflict".equals(last.get(i))
                        && history.configured().stream()
                                        .filter(
                                                one ->
                                                        one.number()
                                                                == (long)
                                                                        span.faultEvent().amount())
                                        .mapToLong(EventHistory.ConfigChange::digest)
                                        .distinct()
                                        .count()
                                > 1) {
                    violations.add(
                            new Violation(
                                    "conflict",
                                    names.get(i) + " says of its configuration: " + last.get(i)));
                }
            }
        }
    }

    private void checkLookAside() {
        int maxCount = (int) Math.ceil(names.size() * MAX_LOOK_ASIDE_FRACTION);
        int out = 0;
        List<long[]> all = new ArrayList<>(lookAsideSteps);
        for (EventHistory.ProcessChange one : history.processes()) {
            boolean wasAside = false;
            for (long[] step : lookAsideSteps) {
                wasAside =
                        step[1] == one.balancer() && step[0] < one.atNanos()
                                ? step[2] > 0
                                : wasAside;
            }
            if (wasAside
                    && (one.event() == ProcessEvent.KILLED
                            || one.event() == ProcessEvent.TERMINATED)) {
                // Its life is over, and being aside with it.
                all.add(new long[] {one.atNanos(), one.balancer(), -1});
            }
        }
        all.sort((a, b) -> Long.compare(a[0], b[0]));
        for (long[] one : all) {
            out += one[2];
            boolean shut =
                    history.spans().stream()
                            .anyMatch(
                                    span ->
                                            span.faultEvent().kind() == FaultEvent.Kind.SHUT_OUT
                                                    && span.faultEvent()
                                                            .balancers()
                                                            .contains((int) one[1])
                                                    && one[0]
                                                            >= span.fromNanos() - CONVERGENCE_NANOS
                                                    && one[0]
                                                            <= span.toNanos() + CONVERGENCE_NANOS);
            if (shut) {
                out -= one[2];
                continue;
            }
            if (one[2] > 0 && one[1] % LOOK_ASIDE_STRIDE != LOOK_ASIDE_STRIDE - 1) {
                violations.add(
                        new Violation(
                                "aside",
                                names.get((int) one[1]) + " stepped aside and has no place to"));
            }
            maxLookAside = Math.max(maxLookAside, out);
            if (out > maxCount) {
                violations.add(
                        new Violation(
                                "aside",
                                out
                                        + " balancers are aside at "
                                        + one[0] / 1e9
                                        + " s, of "
                                        + names.size()));
            }
        }
        if (out > 0) {
            violations.add(new Violation("aside", out + " balancers are aside at the end"));
        }
    }
}
