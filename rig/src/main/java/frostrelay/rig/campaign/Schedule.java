package frostrelay.rig.campaign;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What a play does and when. {@code length}: nanoseconds, from when all balancers serve until it is
 * healed and judged; {@code rate}: requests a second for each balancer, 0 for the matter's own.
 */
public record Schedule(
        String name, long seed, int processes, long length, int rate, List<Happening> happenings) {
    private static final long SECOND = 1_000_000_000L;

    /** Everything is healed so long before the end: what is to converge has that time. */
    private static final long SETTLE = 3 * SECOND;

    private static final long FIRST = SECOND / 2;
    static final int CACHES = 6;

    /**
     * What is drawn for the audit, in this order: what is added elsewhere leaves the schedules of
     * all seeds as they are.
     */
    private static final Happening.Kind[] DRAWN = {
        Happening.Kind.LOSS,
        Happening.Kind.DELAY,
        Happening.Kind.DOUBLE,
        Happening.Kind.DAMAGE,
        Happening.Kind.SILENCE,
        Happening.Kind.PARTITION,
        Happening.Kind.FORGE,
        Happening.Kind.DISCOVERY_CUT,
        Happening.Kind.DISCOVERY_LATE,
        Happening.Kind.DISCOVERY_OLD,
        Happening.Kind.CACHE_CUT,
        Happening.Kind.KILL,
        Happening.Kind.KILL_EMPTY,
        Happening.Kind.FREEZE,
        Happening.Kind.TERMINATE,
        Happening.Kind.UPGRADE,
        Happening.Kind.STARVE,
        Happening.Kind.WALL_CLOCK,
        Happening.Kind.DISK,
        Happening.Kind.DISK_SMALL,
        Happening.Kind.CONFIG,
        Happening.Kind.CONFIG_OTHER,
        Happening.Kind.CONFIG_QUIET,
        Happening.Kind.CONFIG_BAD,
        Happening.Kind.DRAIN,
        Happening.Kind.HOLD,
        Happening.Kind.CACHE_RESTART,
        Happening.Kind.LOOK
    };

    /**
     * Drawn by a seed: a change of configuration and of the list always, and six to nine faults
     * among them.
     */
    public static Schedule drawn(long seed, int processes, long length) {
        UniformRandomProvider random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 0x9E3779B97F4A7C15L + processes);
        List<Happening> all = new ArrayList<>();
        long span = length - SETTLE - FIRST;
        int number = 1;
        for (int i = 0; i < 2; i++) {
            // Not all of them always: a configuration that reaches a part of the fleet.
            List<Integer> who =
                    some(
                            random,
                            processes,
                            random.nextBoolean() ? processes : 1 + random.nextInt(processes));
            all.add(
                    new Happening(
                            FIRST + random.nextLong(span),
                            random.nextInt(4) == 0
                                    ? Happening.Kind.CONFIG_OTHER
                                    : Happening.Kind.CONFIG,
                            who,
                            List.of(),
                            number,
                            0));
            number += random.nextInt(3) == 0 ? 0 : 1;
        }
        if (random.nextInt(3) == 0) {
            // Back to what all of them began with: number 0 has that content.
            all.add(
                    new Happening(
                            FIRST + span / 2 + random.nextLong(span / 2),
                            Happening.Kind.CONFIG,
                            some(random, processes, 1 + random.nextInt(processes)),
                            List.of(),
                            0,
                            0));
        }
        for (int i = 0; i < 3; i++) {
            long at = FIRST + random.nextLong(span * 3 / 4);
            all.add(
                    new Happening(
                            at,
                            Happening.Kind.DRAIN,
                            List.of(),
                            List.of(random.nextInt(CACHES)),
                            0,
                            Math.min(FIRST + span - at, SECOND + random.nextLong(2 * SECOND))));
        }
        int faults = 6 + random.nextInt(4);
        List<Integer> killed = new ArrayList<>();
        for (int i = 0; i < faults; i++) {
            add(all, random, processes, span, killed);
        }
        all.sort((a, b) -> Long.compare(a.at(), b.at()));
        return new Schedule("seed-" + seed, seed, processes, length, 0, all);
    }

    /**
     * Drawn by a seed: the list changes often, and discovery tells a part of the fleet late, old
     * lists or nothing; one is frozen, some do not hear each other.
     */
    static Schedule drawnOfStragglers(long seed, int processes, long length) {
        UniformRandomProvider random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 0x9E3779B97F4A7C15L - processes);
        List<Happening> all = new ArrayList<>();
        long span = length - SETTLE - FIRST;
        for (int i = 0; i < 5; i++) {
            // One after the other, each a cache of its own, two at a time at most: the fleet has
            // room for that.
            long at = FIRST + span * i / 6 + random.nextLong(span / 6);
            all.add(
                    new Happening(
                            at,
                            Happening.Kind.DRAIN,
                            List.of(),
                            List.of(i % CACHES),
                            0,
                            Math.min(FIRST + span - at, span / 6 + random.nextLong(span / 6))));
        }
        // A configuration of which one is not told.
        List<Integer> missed = some(random, processes, 1);
        long given = FIRST + random.nextLong(span / 3);
        List<Integer> told = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            if (!missed.contains(i)) {
                told.add(i);
            }
        }
        all.add(new Happening(given, Happening.Kind.CONFIG, List.copyOf(told), List.of(), 1, 0));
        if (seed % 2 == 0) {
            all.add(new Happening(given, Happening.Kind.CONFIG_QUIET, missed, List.of(), 1, 0));
        }
        // Operators hold a cache, the last one, which never drains here; one balancer is not told.
        List<Integer> holding = new ArrayList<>(some(random, processes, processes - 1));
        long holdAt = FIRST + random.nextLong(span / 2);
        all.add(
                new Happening(
                        holdAt,
                        Happening.Kind.HOLD,
                        List.copyOf(holding),
                        List.of(CACHES - 1),
                        0,
                        Math.min(FIRST + span - holdAt, 2 * SECOND + random.nextLong(4 * SECOND))));
        Happening.Kind[] late = {
            Happening.Kind.DISCOVERY_CUT,
            Happening.Kind.DISCOVERY_LATE,
            Happening.Kind.DISCOVERY_OLD
        };
        for (int i = 0; i < 3; i++) {
            long at = FIRST / 2 + random.nextLong(span / 2);
            List<Integer> who =
                    some(random, processes, 1 + random.nextInt(Math.max(1, processes / 2)));
            all.add(
                    new Happening(
                            at,
                            late[random.nextInt(late.length)],
                            who,
                            List.of(),
                            3_000 + random.nextInt(7_000),
                            Math.min(FIRST + span - at, 2 * SECOND + random.nextLong(5 * SECOND))));
        }
        long at = FIRST + random.nextLong(span / 2);
        all.add(
                new Happening(
                        at,
                        Happening.Kind.FREEZE,
                        some(random, processes, 1),
                        List.of(),
                        0,
                        Math.min(FIRST + span - at, SECOND + random.nextLong(4 * SECOND))));
        List<Integer> every = some(random, processes, processes);
        switch (random.nextInt(4)) {
            case 0 ->
                    all.add(
                            new Happening(
                                    at,
                                    Happening.Kind.PARTITION,
                                    some(random, processes, processes / 2),
                                    List.of(),
                                    0,
                                    Math.min(FIRST + span - at, 3 * SECOND)));
            case 1 -> all.add(new Happening(FIRST, Happening.Kind.LOSS, every, every, 0.3, span));
            case 2 ->
                    all.add(
                            new Happening(
                                    at,
                                    Happening.Kind.FORGE,
                                    some(random, processes, 1),
                                    every,
                                    0,
                                    0));
            default -> all.add(new Happening(FIRST, Happening.Kind.DELAY, every, every, 200, span));
        }
        all.sort((a, b) -> Long.compare(a.at(), b.at()));
        return new Schedule("stragglers-" + seed, seed, processes, length, 0, all);
    }

    /**
     * Drawn by a seed: one cache dead for all for a while, one silent later, one balancer cut from
     * three caches; and of loss, delay, lies, a partition, a frozen balancer and a restarted cache
     * two.
     */
    static Schedule drawnOfJudgements(long seed, int processes, long length) {
        UniformRandomProvider random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(
                        seed * 0x9E3779B97F4A7C15L + 7919 * processes);
        List<Happening> all = new ArrayList<>();
        long span = length - SETTLE - FIRST;
        List<Integer> every = some(random, processes, processes);
        List<Integer> caches = new ArrayList<>(some(random, CACHES, 3));
        // One behind the other: two that are dead at once are all that others' word may take.
        long first = FIRST + SECOND + random.nextLong(span / 6);
        all.add(
                new Happening(
                        first,
                        Happening.Kind.CACHE_CUT,
                        every,
                        List.of(caches.get(0)),
                        0,
                        5 * SECOND));
        long second = first + 6 * SECOND;
        all.add(
                new Happening(
                        second,
                        Happening.Kind.CACHE_SILENT,
                        List.of(),
                        List.of(caches.get(1)),
                        0,
                        Math.min(6 * SECOND, FIRST + span - second)));
        long alone = FIRST + random.nextLong(span / 2);
        all.add(
                new Happening(
                        alone,
                        Happening.Kind.CACHE_CUT,
                        some(random, processes, 1),
                        some(random, CACHES, 3),
                        0,
                        Math.min(FIRST + span - alone, 4 * SECOND)));
        for (int i = 0; i < 2; i++) {
            long at = FIRST + random.nextLong(span / 2);
            long rest = FIRST + span - at;
            List<Integer> one = some(random, processes, 1);
            switch (random.nextInt(7)) {
                case 0 ->
                        all.add(new Happening(FIRST, Happening.Kind.LOSS, every, every, 0.3, span));
                case 1 ->
                        all.add(
                                new Happening(
                                        FIRST,
                                        Happening.Kind.DELAY,
                                        every,
                                        every,
                                        200 + random.nextInt(1_800),
                                        span));
                case 2 ->
                        all.add(
                                new Happening(
                                        FIRST, Happening.Kind.DOUBLE, every, every, 0.5, span));
                case 3 -> {
                    for (long lie = at; lie < FIRST + span; lie += SECOND / 2) {
                        all.add(new Happening(lie, Happening.Kind.FORGE, one, every, 0, 0));
                    }
                }
                case 4 ->
                        all.add(
                                new Happening(
                                        at,
                                        Happening.Kind.PARTITION,
                                        some(random, processes, processes / 2),
                                        List.of(),
                                        0,
                                        Math.min(rest, 4 * SECOND)));
                case 5 ->
                        all.add(
                                new Happening(
                                        at,
                                        Happening.Kind.FREEZE,
                                        one,
                                        List.of(),
                                        0,
                                        Math.min(rest, 4 * SECOND)));
                default ->
                        all.add(
                                new Happening(
                                        at,
                                        Happening.Kind.CACHE_RESTART,
                                        List.of(),
                                        List.of(caches.get(2)),
                                        0,
                                        0));
            }
        }
        all.sort((a, b) -> Long.compare(a.at(), b.at()));
        return new Schedule("judgements-" + seed, seed, processes, length, 0, all);
    }

    private static void add(
            List<Happening> all,
            UniformRandomProvider random,
            int processes,
            long span,
            List<Integer> killed) {
        Happening.Kind[] kinds = DRAWN;
        Happening.Kind kind = kinds[random.nextInt(kinds.length)];
        long at = FIRST + random.nextLong(span * 3 / 4);
        long length = Math.min(FIRST + span - at, SECOND / 2 + random.nextLong(3 * SECOND));
        List<Integer> one = some(random, processes, 1);
        List<Integer> part =
                some(random, processes, 1 + random.nextInt(Math.max(1, processes / 2)));
        List<Integer> every = some(random, processes, processes);
        List<Integer> cache = List.of(random.nextInt(CACHES));
        switch (kind) {
            case LOSS ->
                    all.add(
                            new Happening(
                                    at,
                                    kind,
                                    every,
                                    every,
                                    0.1 + 0.3 * random.nextDouble(),
                                    length));
            case DELAY ->
                    all.add(
                            new Happening(
                                    at, kind, every, every, 20 + random.nextInt(280), length));
            case DOUBLE, DAMAGE ->
                    all.add(
                            new Happening(
                                    at, kind, every, every, 0.3 * random.nextDouble(), length));
            case SILENCE -> all.add(new Happening(at, kind, one, every, 0, length));
            case PARTITION, DISCOVERY_CUT, DISCOVERY_OLD, HOLD ->
                    all.add(
                            new Happening(
                                    at,
                                    kind,
                                    part,
                                    kind == Happening.Kind.HOLD ? cache : List.of(),
                                    0,
                                    length));
            case FORGE -> all.add(new Happening(at, kind, one, every, 0, 0));
            case DISCOVERY_LATE ->
                    all.add(
                            new Happening(
                                    at,
                                    kind,
                                    part,
                                    List.of(),
                                    200 + random.nextInt(1_500),
                                    length));
            case CACHE_CUT -> all.add(new Happening(at, kind, one, cache, 0, length));
            case KILL, KILL_EMPTY, FREEZE, TERMINATE, UPGRADE, STARVE -> {
                // One fault of a process at a time for each: what two together do is their sum.
                if (killed.contains(one.get(0))) {
                    return;
                }
                killed.addAll(one);
                all.add(
                        new Happening(
                                at,
                                kind,
                                one,
                                List.of(),
                                kind == Happening.Kind.STARVE ? 0.3 : 0,
                                length));
            }
            case WALL_CLOCK ->
                    all.add(
                            new Happening(
                                    at,
                                    kind,
                                    one,
                                    List.of(),
                                    (random.nextBoolean() ? -1 : 1)
                                            * (1_000 + random.nextInt(30_000)),
                                    0));
            case DISK -> all.add(new Happening(at, kind, one, List.of(), 0, length));
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
            case CONFIG_BAD -> all.add(new Happening(at, kind, part, List.of(), 0, 0));
            case LOOK -> all.add(new Happening(at, kind, List.of(), List.of(), 0, 0));
            case DRAIN, CACHE_RESTART ->
                    all.add(
                            new Happening(
                                    at,
                                    kind,
                                    List.of(),
                                    cache,
                                    0,
                                    kind == Happening.Kind.DRAIN ? length : 0));
            default -> throw new IllegalStateException(kind.word());
        }
    }

    private static List<Integer> some(UniformRandomProvider random, int of, int count) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            all.add(i);
        }
        while (all.size() > count) {
            all.remove(random.nextInt(all.size()));
        }
        return List.copyOf(all);
    }

    /** The same without one of its happenings. */
    Schedule without(int place) {
        List<Happening> fewer = new ArrayList<>(happenings);
        fewer.remove(place);
        return new Schedule(name, seed, processes, length, rate, List.copyOf(fewer));
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
                                length / 1_000_000,
                                rate));
        for (Happening one : happenings) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%n[[happening]]%nat = \"%dms\"%nkind = \"%s\"%n%s%samount = %s%n"
                                    + "for = \"%dms\"%n",
                            one.at() / 1_000_000,
                            one.kind().word(),
                            list("who", one.who()),
                            list("whom", one.whom()),
                            one.amount(),
                            one.length() / 1_000_000));
        }
        return text.toString();
    }

    private static String list(String key, List<Integer> places) {
        return places.isEmpty()
                ? ""
                : key
                        + " = \""
                        + String.join(
                                " ",
                                places.stream().map(place -> Integer.toString(place + 1)).toList())
                        + "\"\n";
    }
}
