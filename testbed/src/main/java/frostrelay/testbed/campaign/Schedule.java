package frostrelay.testbed.campaign;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What a play does and when. {@code lengthNanos}: nanoseconds, from when all balancers serve until
 * it is healed and judged; {@code requestsPerSecond}: requests a second for each balancer, 0 for
 * the matter's own.
 */
public record Schedule(
        String name,
        long seed,
        int processes,
        long lengthNanos,
        int requestsPerSecond,
        List<FaultEvent> events) {
    private static final long SECOND_NANOS = 1_000_000_000L;

    /** Everything is healed so long before the end: what is to converge has that time. */
    private static final long SETTLE_NANOS = 3 * SECOND_NANOS;

    private static final long FIRST_EVENT_NANOS = SECOND_NANOS / 2;
    static final int CACHE_COUNT = 6;

    /**
     * What is drawn for the audit, in this order: what is added elsewhere leaves the schedules of
     * all seeds as they are.
     */
    private static final FaultEvent.Kind[] AUDIT_FAULT_KINDS = {
        FaultEvent.Kind.LOSS,
        FaultEvent.Kind.DELAY,
        FaultEvent.Kind.DOUBLE,
        FaultEvent.Kind.DAMAGE,
        FaultEvent.Kind.SILENCE,
        FaultEvent.Kind.PARTITION,
        FaultEvent.Kind.FORGE,
        FaultEvent.Kind.DISCOVERY_CUT,
        FaultEvent.Kind.DISCOVERY_LATE,
        FaultEvent.Kind.DISCOVERY_OLD,
        FaultEvent.Kind.CACHE_CUT,
        FaultEvent.Kind.KILL,
        FaultEvent.Kind.KILL_EMPTY,
        FaultEvent.Kind.FREEZE,
        FaultEvent.Kind.TERMINATE,
        FaultEvent.Kind.UPGRADE,
        FaultEvent.Kind.STARVE,
        FaultEvent.Kind.WALL_CLOCK,
        FaultEvent.Kind.DISK,
        FaultEvent.Kind.DISK_SMALL,
        FaultEvent.Kind.CONFIG,
        FaultEvent.Kind.CONFIG_OTHER,
        FaultEvent.Kind.CONFIG_QUIET,
        FaultEvent.Kind.CONFIG_BAD,
        FaultEvent.Kind.DRAIN,
        FaultEvent.Kind.HOLD,
        FaultEvent.Kind.CACHE_RESTART,
        FaultEvent.Kind.LOOK
    };

    /**
     * Drawn by a seed: a change of configuration and of the list always, and six to nine faults
     * among them.
     */
    public static Schedule generate(long seed, int processes, long length) {
        UniformRandomProvider random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 0x9E3779B97F4A7C15L + processes);
        List<FaultEvent> all = new ArrayList<>();
        long span = length - SETTLE_NANOS - FIRST_EVENT_NANOS;
        int number = 1;
        for (int i = 0; i < 2; i++) {
            // Not all of them always: a configuration that reaches a part of the fleet.
            List<Integer> who =
                    randomSubset(
                            random,
                            processes,
                            random.nextBoolean() ? processes : 1 + random.nextInt(processes));
            all.add(
                    new FaultEvent(
                            FIRST_EVENT_NANOS + random.nextLong(span),
                            random.nextInt(4) == 0
                                    ? FaultEvent.Kind.CONFIG_OTHER
                                    : FaultEvent.Kind.CONFIG,
                            who,
                            List.of(),
                            number,
                            0));
            number += random.nextInt(3) == 0 ? 0 : 1;
        }
        if (random.nextInt(3) == 0) {
            // Back to what all of them began with: number 0 has that content.
            all.add(
                    new FaultEvent(
                            FIRST_EVENT_NANOS + span / 2 + random.nextLong(span / 2),
                            FaultEvent.Kind.CONFIG,
                            randomSubset(random, processes, 1 + random.nextInt(processes)),
                            List.of(),
                            0,
                            0));
        }
        for (int i = 0; i < 3; i++) {
            long at = FIRST_EVENT_NANOS + random.nextLong(span * 3 / 4);
            all.add(
                    new FaultEvent(
                            at,
                            FaultEvent.Kind.DRAIN,
                            List.of(),
                            List.of(random.nextInt(CACHE_COUNT)),
                            0,
                            Math.min(
                                    FIRST_EVENT_NANOS + span - at,
                                    SECOND_NANOS + random.nextLong(2 * SECOND_NANOS))));
        }
        int faults = 6 + random.nextInt(4);
        List<Integer> killed = new ArrayList<>();
        for (int i = 0; i < faults; i++) {
            addRandomFault(all, random, processes, span, killed);
        }
        all.sort((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
        return new Schedule("seed-" + seed, seed, processes, length, 0, all);
    }

    /**
     * Drawn by a seed: the list changes often, and discovery tells a part of the fleet late, old
     * lists or nothing; one is frozen, some do not hear each other.
     */
    static Schedule generateForStaleness(long seed, int processes, long length) {
        UniformRandomProvider random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 0x9E3779B97F4A7C15L - processes);
        List<FaultEvent> all = new ArrayList<>();
        long span = length - SETTLE_NANOS - FIRST_EVENT_NANOS;
        for (int i = 0; i < 5; i++) {
            // One after the other, each a cache of its own, two at a time at most: the fleet has
            // room for that.
            long at = FIRST_EVENT_NANOS + span * i / 6 + random.nextLong(span / 6);
            all.add(
                    new FaultEvent(
                            at,
                            FaultEvent.Kind.DRAIN,
                            List.of(),
                            List.of(i % CACHE_COUNT),
                            0,
                            Math.min(
                                    FIRST_EVENT_NANOS + span - at,
                                    span / 6 + random.nextLong(span / 6))));
        }
        // A configuration of which one is not told.
        List<Integer> unnotified = randomSubset(random, processes, 1);
        long configAtNanos = FIRST_EVENT_NANOS + random.nextLong(span / 3);
        List<Integer> notified = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            if (!unnotified.contains(i)) {
                notified.add(i);
            }
        }
        all.add(
                new FaultEvent(
                        configAtNanos,
                        FaultEvent.Kind.CONFIG,
                        List.copyOf(notified),
                        List.of(),
                        1,
                        0));
        if (seed % 2 == 0) {
            all.add(
                    new FaultEvent(
                            configAtNanos,
                            FaultEvent.Kind.CONFIG_QUIET,
                            unnotified,
                            List.of(),
                            1,
                            0));
        }
        // Operators hold a cache, the last one, which never drains here; one balancer is not told.
        List<Integer> draining = new ArrayList<>(randomSubset(random, processes, processes - 1));
        long drainAtNanos = FIRST_EVENT_NANOS + random.nextLong(span / 2);
        all.add(
                new FaultEvent(
                        drainAtNanos,
                        FaultEvent.Kind.HOLD,
                        List.copyOf(draining),
                        List.of(CACHE_COUNT - 1),
                        0,
                        Math.min(
                                FIRST_EVENT_NANOS + span - drainAtNanos,
                                2 * SECOND_NANOS + random.nextLong(4 * SECOND_NANOS))));
        FaultEvent.Kind[] late = {
            FaultEvent.Kind.DISCOVERY_CUT,
            FaultEvent.Kind.DISCOVERY_LATE,
            FaultEvent.Kind.DISCOVERY_OLD
        };
        for (int i = 0; i < 3; i++) {
            long at = FIRST_EVENT_NANOS / 2 + random.nextLong(span / 2);
            List<Integer> who =
                    randomSubset(random, processes, 1 + random.nextInt(Math.max(1, processes / 2)));
            all.add(
                    new FaultEvent(
                            at,
                            late[random.nextInt(late.length)],
                            who,
                            List.of(),
                            3_000 + random.nextInt(7_000),
                            Math.min(
                                    FIRST_EVENT_NANOS + span - at,
                                    2 * SECOND_NANOS + random.nextLong(5 * SECOND_NANOS))));
        }
        long at = FIRST_EVENT_NANOS + random.nextLong(span / 2);
        all.add(
                new FaultEvent(
                        at,
                        FaultEvent.Kind.FREEZE,
                        randomSubset(random, processes, 1),
                        List.of(),
                        0,
                        Math.min(
                                FIRST_EVENT_NANOS + span - at,
                                SECOND_NANOS + random.nextLong(4 * SECOND_NANOS))));
        List<Integer> every = randomSubset(random, processes, processes);
        switch (random.nextInt(4)) {
            case 0 ->
                    all.add(
                            new FaultEvent(
                                    at,
                                    FaultEvent.Kind.PARTITION,
                                    randomSubset(random, processes, processes / 2),
                                    List.of(),
                                    0,
                                    Math.min(FIRST_EVENT_NANOS + span - at, 3 * SECOND_NANOS)));
            case 1 ->
                    all.add(
                            new FaultEvent(
                                    FIRST_EVENT_NANOS,
                                    FaultEvent.Kind.LOSS,
                                    every,
                                    every,
                                    0.3,
                                    span));
            case 2 ->
                    all.add(
                            new FaultEvent(
                                    at,
                                    FaultEvent.Kind.FORGE,
                                    randomSubset(random, processes, 1),
                                    every,
                                    0,
                                    0));
            default ->
                    all.add(
                            new FaultEvent(
                                    FIRST_EVENT_NANOS,
                                    FaultEvent.Kind.DELAY,
                                    every,
                                    every,
                                    200,
                                    span));
        }
        all.sort((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
        return new Schedule("stragglers-" + seed, seed, processes, length, 0, all);
    }

    /**
     * Drawn by a seed: one cache dead for all for a while, one silent later, one balancer cut from
     * three caches; and of loss, delay, lies, a partition, a frozen balancer and a restarted cache
     * two.
     */
    static Schedule generateForHealthReports(long seed, int processes, long length) {
        UniformRandomProvider random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(
                        seed * 0x9E3779B97F4A7C15L + 7919 * processes);
        List<FaultEvent> all = new ArrayList<>();
        long span = length - SETTLE_NANOS - FIRST_EVENT_NANOS;
        List<Integer> every = randomSubset(random, processes, processes);
        List<Integer> caches = new ArrayList<>(randomSubset(random, CACHE_COUNT, 3));
        // One behind the other: two that are dead at once are all that others' word may take.
        long first = FIRST_EVENT_NANOS + SECOND_NANOS + random.nextLong(span / 6);
        all.add(
                new FaultEvent(
                        first,
                        FaultEvent.Kind.CACHE_CUT,
                        every,
                        List.of(caches.get(0)),
                        0,
                        5 * SECOND_NANOS));
        long second = first + 6 * SECOND_NANOS;
        all.add(
                new FaultEvent(
                        second,
                        FaultEvent.Kind.CACHE_SILENT,
                        List.of(),
                        List.of(caches.get(1)),
                        0,
                        Math.min(6 * SECOND_NANOS, FIRST_EVENT_NANOS + span - second)));
        long alone = FIRST_EVENT_NANOS + random.nextLong(span / 2);
        all.add(
                new FaultEvent(
                        alone,
                        FaultEvent.Kind.CACHE_CUT,
                        randomSubset(random, processes, 1),
                        randomSubset(random, CACHE_COUNT, 3),
                        0,
                        Math.min(FIRST_EVENT_NANOS + span - alone, 4 * SECOND_NANOS)));
        for (int i = 0; i < 2; i++) {
            long at = FIRST_EVENT_NANOS + random.nextLong(span / 2);
            long rest = FIRST_EVENT_NANOS + span - at;
            List<Integer> one = randomSubset(random, processes, 1);
            switch (random.nextInt(7)) {
                case 0 ->
                        all.add(
                                new FaultEvent(
                                        FIRST_EVENT_NANOS,
                                        FaultEvent.Kind.LOSS,
                                        every,
                                        every,
                                        0.3,
                                        span));
                case 1 ->
                        all.add(
                                new FaultEvent(
                                        FIRST_EVENT_NANOS,
                                        FaultEvent.Kind.DELAY,
                                        every,
                                        every,
                                        200 + random.nextInt(1_800),
                                        span));
                case 2 ->
                        all.add(
                                new FaultEvent(
                                        FIRST_EVENT_NANOS,
                                        FaultEvent.Kind.DOUBLE,
                                        every,
                                        every,
                                        0.5,
                                        span));
                case 3 -> {
                    for (long lie = at; lie < FIRST_EVENT_NANOS + span; lie += SECOND_NANOS / 2) {
                        all.add(new FaultEvent(lie, FaultEvent.Kind.FORGE, one, every, 0, 0));
                    }
                }
                case 4 ->
                        all.add(
                                new FaultEvent(
                                        at,
                                        FaultEvent.Kind.PARTITION,
                                        randomSubset(random, processes, processes / 2),
                                        List.of(),
                                        0,
                                        Math.min(rest, 4 * SECOND_NANOS)));
                case 5 ->
                        all.add(
                                new FaultEvent(
                                        at,
                                        FaultEvent.Kind.FREEZE,
                                        one,
                                        List.of(),
                                        0,
                                        Math.min(rest, 4 * SECOND_NANOS)));
                default ->
                        all.add(
                                new FaultEvent(
                                        at,
                                        FaultEvent.Kind.CACHE_RESTART,
                                        List.of(),
                                        List.of(caches.get(2)),
                                        0,
                                        0));
            }
        }
        all.sort((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
        return new Schedule("judgements-" + seed, seed, processes, length, 0, all);
    }

    private static void addRandomFault(
            List<FaultEvent> all,
            UniformRandomProvider random,
            int processes,
            long span,
            List<Integer> killed) {
        FaultEvent.Kind[] kinds = AUDIT_FAULT_KINDS;
        FaultEvent.Kind kind = kinds[random.nextInt(kinds.length)];
        long at = FIRST_EVENT_NANOS + random.nextLong(span * 3 / 4);
        long length =
                Math.min(
                        FIRST_EVENT_NANOS + span - at,
                        SECOND_NANOS / 2 + random.nextLong(3 * SECOND_NANOS));
        List<Integer> one = randomSubset(random, processes, 1);
        List<Integer> part =
                randomSubset(random, processes, 1 + random.nextInt(Math.max(1, processes / 2)));
        List<Integer> every = randomSubset(random, processes, processes);
        List<Integer> cache = List.of(random.nextInt(CACHE_COUNT));
        switch (kind) {
            case LOSS ->
                    all.add(
                            new FaultEvent(
                                    at,
                                    kind,
                                    every,
                                    every,
                                    0.1 + 0.3 * random.nextDouble(),
                                    length));
            case DELAY ->
                    all.add(
                            new FaultEvent(
                                    at, kind, every, every, 20 + random.nextInt(280), length));
            case DOUBLE, DAMAGE ->
                    all.add(
                            new FaultEvent(
                                    at, kind, every, every, 0.3 * random.nextDouble(), length));
            case SILENCE -> all.add(new FaultEvent(at, kind, one, every, 0, length));
            case PARTITION, DISCOVERY_CUT, DISCOVERY_OLD, HOLD ->
                    all.add(
                            new FaultEvent(
                                    at,
                                    kind,
                                    part,
                                    kind == FaultEvent.Kind.HOLD ? cache : List.of(),
                                    0,
                                    length));
            case FORGE -> all.add(new FaultEvent(at, kind, one, every, 0, 0));
            case DISCOVERY_LATE ->
                    all.add(
                            new FaultEvent(
                                    at,
                                    kind,
                                    part,
                                    List.of(),
                                    200 + random.nextInt(1_500),
                                    length));
            case CACHE_CUT -> all.add(new FaultEvent(at, kind, one, cache, 0, length));
            case KILL, KILL_EMPTY, FREEZE, TERMINATE, UPGRADE, STARVE -> {
                // One fault of a process at a time for each: what two together do is their sum.
                if (killed.contains(one.get(0))) {
                    return;
                }
                killed.addAll(one);
                all.add(
                        new FaultEvent(
                                at,
                                kind,
                                one,
                                List.of(),
                                kind == FaultEvent.Kind.STARVE ? 0.3 : 0,
                                length));
            }
            case WALL_CLOCK ->
                    all.add(
                            new FaultEvent(
                                    at,
                                    kind,
                                    one,
                                    List.of(),
                                    (random.nextBoolean() ? -1 : 1)
                                            * (1_000 + random.nextInt(30_000)),
                                    0));
            case DISK -> all.add(new FaultEvent(at, kind, one, List.of(), 0, length));
            case CONFIG,
                    CONFIG_OTHER,
                    CONFIG_QUIET,
                    CONFIG_UNFIT,
                    CONFIG_HARMFUL,
                    DISK_SMALL,
                    FLAP,
                    CACHE_SILENT,
                    CACHE_FAILS_WRITES,
                    ARCHIVE_SLOW,
                    RETRY,
                    KEEP_IN,
                    SHUT_OUT,
                    UPGRADE_FORM -> {
                // There are some always; what nobody is told of is for stragglers, the others for
                // schedules of their own.
            }
            case CONFIG_BAD -> all.add(new FaultEvent(at, kind, part, List.of(), 0, 0));
            case LOOK -> all.add(new FaultEvent(at, kind, List.of(), List.of(), 0, 0));
            case DRAIN, CACHE_RESTART ->
                    all.add(
                            new FaultEvent(
                                    at,
                                    kind,
                                    List.of(),
                                    cache,
                                    0,
                                    kind == FaultEvent.Kind.DRAIN ? length : 0));
            default -> throw new IllegalStateException(kind.keyword());
        }
    }

    private static List<Integer> randomSubset(
            UniformRandomProvider random, int population, int count) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < population; i++) {
            all.add(i);
        }
        while (all.size() > count) {
            all.remove(random.nextInt(all.size()));
        }
        return List.copyOf(all);
    }

    /** The same without one of its happenings. */
    Schedule withoutEvent(int index) {
        List<FaultEvent> fewer = new ArrayList<>(events);
        fewer.remove(index);
        return new Schedule(
                name, seed, processes, lengthNanos, requestsPerSecond, List.copyOf(fewer));
    }

    /** As a file that {@link ScheduleFile} reads. */
    public String toml() {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "name = \"%s\"%nseed = %d%nprocesses = %d%nlength = \"%dms\"%nrate = %d%n",
                                name,
                                seed,
                                processes,
                                lengthNanos / 1_000_000,
                                requestsPerSecond));
        for (FaultEvent one : events) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%n[[happening]]%nat = \"%dms\"%nkind = \"%s\"%n%s%samount = %s%n"
                                    + "for = \"%dms\"%n",
                            one.atNanos() / 1_000_000,
                            one.kind().keyword(),
                            formatList("who", one.balancers()),
                            formatList("whom", one.targets()),
                            one.amount(),
                            one.durationNanos() / 1_000_000));
        }
        return text.toString();
    }

    private static String formatList(String key, List<Integer> indexes) {
        return indexes.isEmpty()
                ? ""
                : key
                        + " = \""
                        + String.join(
                                " ",
                                indexes.stream().map(place -> Integer.toString(place + 1)).toList())
                        + "\"\n";
    }
}
