package frostrelay.rig.soak;

import frostrelay.rig.archive.ArchiveSpec;
import frostrelay.rig.cache.CacheSpec;
import frostrelay.rig.day.ClassSpec;
import frostrelay.rig.day.Day;
import frostrelay.rig.day.FaultKind;
import frostrelay.rig.day.FaultSpec;
import frostrelay.rig.day.LoadSpec;
import frostrelay.rig.day.TenantSpec;
import frostrelay.rig.referee.ColdMeter;
import frostrelay.rig.referee.Referee;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Draws a short day with many balancers, short deadlines and faults that overlap: the same seed
 * gives the same day.
 */
public final class SoakPlan {
    /** Balancers of a day, each a process. */
    public static final int LEAST_BALANCERS = 10;

    /** See {@link #LEAST_BALANCERS}. */
    public static final int MOST_BALANCERS = 40;

    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long LENGTH = 14 * SECOND;

    /**
     * Faults begin once every balancer serves for a while, and early enough for their consequences
     * to be seen.
     */
    private static final long FIRST_FAULT = SECOND;

    private static final long LAST_FAULT = 11 * SECOND;

    /**
     * A balancer that is stopped then is killed and starts again before the end, whatever the
     * deadlines.
     */
    private static final long LAST_STOP = 9 * SECOND;

    private static final double REQUESTS_PER_BALANCER = 15;

    private final UniformRandomProvider random;

    private SoakPlan(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** The day of a seed. {@code balancers}: how many, or 0 to draw that too. */
    public static Day draw(long seed, int balancers) {
        return new SoakPlan(seed).day(seed, balancers);
    }

    private Day day(long seed, int wanted) {
        int drawn = LEAST_BALANCERS + random.nextInt(MOST_BALANCERS - LEAST_BALANCERS + 1);
        int balancers = wanted > 0 ? wanted : drawn;
        int caches = 6 + random.nextInt(7);
        long longest = between(700, 3_400) * MS;
        CacheSpec cache =
                new CacheSpec(
                        2,
                        16,
                        64,
                        4L << 20,
                        1_024,
                        300 * MS,
                        random.nextBoolean(),
                        random.nextBoolean(),
                        new ColdMeter.Warmth(0.3, 5 * SECOND, 6, SECOND));
        ArchiveSpec archive = new ArchiveSpec(40, 20 * MS, 200, 4, 2 * SECOND, SECOND, 400);
        LoadSpec load =
                new LoadSpec(
                        balancers * REQUESTS_PER_BALANCER,
                        2_000,
                        0.95,
                        2,
                        60 * MS,
                        0.6,
                        1.0,
                        random.nextDouble() * 0.15,
                        random.nextDouble() * 0.1);
        return new Day(
                seed,
                LENGTH,
                caches,
                balancers,
                between(0, 400) * MS,
                500 * MS,
                4 * SECOND,
                cache,
                archive,
                load,
                classes(longest),
                List.of(new TenantSpec("t", 1)),
                faults(balancers, caches));
    }

    private List<ClassSpec> classes(long longest) {
        long read = longest / between(1, 3);
        return List.of(
                new ClassSpec(
                        "read", 0.6, MS, 3 * MS, read / 2, read, 1, Referee.Effect.REPEATABLE),
                new ClassSpec(
                        "use", 0.25, MS, 4 * MS, longest, longest, 1, Referee.Effect.NEVER_TWICE),
                new ClassSpec("note", 0.15, MS, 4 * MS, longest, longest, 1, Referee.Effect.KEYED));
    }

    private long between(int least, int most) {
        return least + random.nextInt(most - least + 1);
    }

    private List<FaultSpec> faults(int balancers, int caches) {
        List<FaultSpec> faults = new ArrayList<>();
        stopSome(balancers, faults);
        hangSome(caches, faults);
        long further = between(6, 18);
        for (int i = 0; i < further; i++) {
            faults.add(further(caches));
        }
        faults.sort(Comparator.comparingLong(FaultSpec::at));
        return faults;
    }

    /**
     * From a third of the balancers to all of them are restarted, in an order and at times by
     * chance.
     */
    private void stopSome(int balancers, List<FaultSpec> faults) {
        long stops = between(balancers / 3 + 1, balancers);
        for (int i = 0; i < stops; i++) {
            String target = "balancer-" + (1 + random.nextInt(balancers));
            faults.add(new FaultSpec(moment(LAST_STOP), FaultKind.BALANCER_STOP, target, 1, 0, 0));
        }
    }

    /**
     * A part of the caches hang, some more than once: what is sent to them has no answer. One hang
     * lies over a stop in any case.
     */
    private void hangSome(int caches, List<FaultSpec> faults) {
        long beforeStop = faults.get(0).at() - between(0, 300) * MS;
        faults.add(
                new FaultSpec(
                        beforeStop,
                        FaultKind.SILENCE,
                        anyOf(caches),
                        1,
                        0,
                        between(1_500, 3_500) * MS));
        long hangs = between(2, caches);
        for (int i = 0; i < hangs; i++) {
            faults.add(
                    new FaultSpec(
                            moment(LAST_FAULT),
                            FaultKind.SILENCE,
                            anyOf(caches),
                            1,
                            0,
                            between(500, 3_500) * MS));
        }
    }

    private FaultSpec further(int caches) {
        long at = moment(LAST_FAULT);
        long length = between(300, 3_000) * MS;
        return switch (random.nextInt(15)) {
            case 0 -> new FaultSpec(at, FaultKind.KILL, anyOf(caches), 1, 0, length);
            case 1 -> new FaultSpec(at, FaultKind.RESTART, anyOf(caches), 1, 0, 0);
            case 2 -> new FaultSpec(at, FaultKind.SLOW, anyOf(caches), between(3, 30), 0, length);
            case 3 -> new FaultSpec(at, FaultKind.DRAIN, anyOf(caches), 1, 0, length);
            case 4 ->
                    new FaultSpec(
                            at,
                            FaultKind.LINK_DELAY,
                            anyOf(caches),
                            1,
                            between(10, 200) * MS,
                            length);
            case 5 -> new FaultSpec(at, FaultKind.LINK_STALL, anyOf(caches), 1, 0, length);
            case 6 -> new FaultSpec(at, FaultKind.LINK_CUT, anyOf(caches), 1, 0, length);
            case 7 -> new FaultSpec(at, FaultKind.DISCOVERY_OUTAGE, "any", 1, 0, length);
            case 8 -> new FaultSpec(at, FaultKind.WATCH_SILENT, "any", 1, 22 * SECOND, 0);
            case 9 -> new FaultSpec(at, FaultKind.RELOAD, "any-" + between(1, 4), 1, 0, 0);
            case 10 ->
                    new FaultSpec(
                            at,
                            FaultKind.BALANCER_PAUSE,
                            "any-" + between(1, 4),
                            1,
                            between(20, 150) * MS,
                            0);
            case 11 -> new FaultSpec(at, FaultKind.BALANCER_KILL, "any", 1, 0, 0);
            case 12 -> new FaultSpec(at, FaultKind.ARCHIVE_OUTAGE, "any", 1, 0, length);
            case 13 ->
                    new FaultSpec(at, FaultKind.SURGE, "any", 1 + random.nextDouble(), 0, length);
            default ->
                    new FaultSpec(
                            at,
                            FaultKind.DISCOVERY_LATE,
                            "any",
                            1,
                            between(200, 2_000) * MS,
                            length);
        };
    }

    private long moment(long last) {
        return FIRST_FAULT + (long) (random.nextDouble() * (last - FIRST_FAULT));
    }

    /** Up to a half of all caches. */
    private String anyOf(int caches) {
        return "any-" + between(1, caches / 2);
    }
}
