package frostrelay.testbed.soak;

import frostrelay.testbed.cache.CacheSpec;
import frostrelay.testbed.invariants.InvariantChecker;
import frostrelay.testbed.invariants.SlowStartMeter;
import frostrelay.testbed.origin.OriginSpec;
import frostrelay.testbed.scenario.ClassSpec;
import frostrelay.testbed.scenario.FaultKind;
import frostrelay.testbed.scenario.FaultSpec;
import frostrelay.testbed.scenario.LoadSpec;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.scenario.TenantSpec;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Generates short random scenarios with many balancers, short deadlines and overlapping faults; the
 * same seed gives the same scenario.
 */
public final class SoakPlan {
    /** The minimum number of balancers in a scenario, each a separate process. */
    public static final int MIN_BALANCERS = 10;

    /** The maximum number of balancers in a scenario. */
    public static final int MAX_BALANCERS = 40;

    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLISECOND;
    private static final long DURATION_NANOS = 14 * NANOS_PER_SECOND;

    /**
     * Faults start after all balancers have served for some time, and early enough for their
     * consequences to be observed.
     */
    private static final long FIRST_FAULT_NANOS = NANOS_PER_SECOND;

    private static final long LAST_FAULT_NANOS = 11 * NANOS_PER_SECOND;

    /**
     * A balancer stopped at this time is killed and started again before the end, for all possible
     * deadlines.
     */
    private static final long LAST_STOP_NANOS = 9 * NANOS_PER_SECOND;

    private static final double REQUESTS_PER_SECOND_PER_BALANCER = 15;

    private final UniformRandomProvider random;

    private SoakPlan(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /**
     * Returns the scenario of a seed. {@code balancers}: their number, or 0 to select it randomly.
     */
    public static Scenario draw(long seed, int balancers) {
        return new SoakPlan(seed).drawScenario(seed, balancers);
    }

    private Scenario drawScenario(long seed, int requestedBalancers) {
        int drawn = MIN_BALANCERS + random.nextInt(MAX_BALANCERS - MIN_BALANCERS + 1);
        int balancers = requestedBalancers > 0 ? requestedBalancers : drawn;
        int caches = 6 + random.nextInt(7);
        long longestDeadlineNanos = between(700, 3_400) * NANOS_PER_MILLISECOND;
        CacheSpec cache =
                new CacheSpec(
                        2,
                        16,
                        64,
                        4L << 20,
                        1_024,
                        300 * NANOS_PER_MILLISECOND,
                        random.nextBoolean(),
                        random.nextBoolean(),
                        new SlowStartMeter.SlowStartProfile(
                                0.3, 5 * NANOS_PER_SECOND, 6, NANOS_PER_SECOND));
        OriginSpec origin =
                new OriginSpec(
                        40,
                        20 * NANOS_PER_MILLISECOND,
                        200,
                        4,
                        2 * NANOS_PER_SECOND,
                        NANOS_PER_SECOND,
                        400);
        LoadSpec load =
                new LoadSpec(
                        balancers * REQUESTS_PER_SECOND_PER_BALANCER,
                        2_000,
                        0.95,
                        2,
                        60 * NANOS_PER_MILLISECOND,
                        0.6,
                        1.0,
                        random.nextDouble() * 0.15,
                        random.nextDouble() * 0.1);
        return new Scenario(
                seed,
                DURATION_NANOS,
                caches,
                balancers,
                between(0, 400) * NANOS_PER_MILLISECOND,
                500 * NANOS_PER_MILLISECOND,
                4 * NANOS_PER_SECOND,
                cache,
                origin,
                load,
                classes(longestDeadlineNanos),
                List.of(new TenantSpec("t", 1)),
                faults(balancers, caches));
    }

    private List<ClassSpec> classes(long longestDeadlineNanos) {
        long read = longestDeadlineNanos / between(1, 3);
        return List.of(
                new ClassSpec(
                        "read",
                        0.6,
                        NANOS_PER_MILLISECOND,
                        3 * NANOS_PER_MILLISECOND,
                        read / 2,
                        read,
                        1,
                        InvariantChecker.Effect.IDEMPOTENT),
                new ClassSpec(
                        "use",
                        0.25,
                        NANOS_PER_MILLISECOND,
                        4 * NANOS_PER_MILLISECOND,
                        longestDeadlineNanos,
                        longestDeadlineNanos,
                        1,
                        InvariantChecker.Effect.NON_IDEMPOTENT),
                new ClassSpec(
                        "note",
                        0.15,
                        NANOS_PER_MILLISECOND,
                        4 * NANOS_PER_MILLISECOND,
                        longestDeadlineNanos,
                        longestDeadlineNanos,
                        1,
                        InvariantChecker.Effect.IDEMPOTENT_BY_KEY));
    }

    private long between(int min, int max) {
        return min + random.nextInt(max - min + 1);
    }

    private List<FaultSpec> faults(int balancers, int caches) {
        List<FaultSpec> faults = new ArrayList<>();
        addBalancerStops(balancers, faults);
        addCacheStalls(caches, faults);
        long further = between(6, 18);
        for (int i = 0; i < further; i++) {
            faults.add(drawFault(caches));
        }
        faults.sort(Comparator.comparingLong(FaultSpec::startNanos));
        return faults;
    }

    /** Adds restarts of a third to all of the balancers, in random order and at random times. */
    private void addBalancerStops(int balancers, List<FaultSpec> faults) {
        long stops = between(balancers / 3 + 1, balancers);
        for (int i = 0; i < stops; i++) {
            String target = "balancer-" + (1 + random.nextInt(balancers));
            faults.add(
                    new FaultSpec(
                            drawStartNanos(LAST_STOP_NANOS),
                            FaultKind.BALANCER_STOP,
                            target,
                            1,
                            0,
                            0));
        }
    }

    /**
     * Adds stalls of some caches, which then answer no requests; a cache may stall more than once.
     * At least one stall overlaps a balancer stop.
     */
    private void addCacheStalls(int caches, List<FaultSpec> faults) {
        long beforeStop = faults.get(0).startNanos() - between(0, 300) * NANOS_PER_MILLISECOND;
        faults.add(
                new FaultSpec(
                        beforeStop,
                        FaultKind.SILENCE,
                        anyOf(caches),
                        1,
                        0,
                        between(1_500, 3_500) * NANOS_PER_MILLISECOND));
        long hangs = between(2, caches);
        for (int i = 0; i < hangs; i++) {
            faults.add(
                    new FaultSpec(
                            drawStartNanos(LAST_FAULT_NANOS),
                            FaultKind.SILENCE,
                            anyOf(caches),
                            1,
                            0,
                            between(500, 3_500) * NANOS_PER_MILLISECOND));
        }
    }

    private FaultSpec drawFault(int caches) {
        long at = drawStartNanos(LAST_FAULT_NANOS);
        long length = between(300, 3_000) * NANOS_PER_MILLISECOND;
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
                            between(10, 200) * NANOS_PER_MILLISECOND,
                            length);
            case 5 -> new FaultSpec(at, FaultKind.LINK_STALL, anyOf(caches), 1, 0, length);
            case 6 -> new FaultSpec(at, FaultKind.LINK_CUT, anyOf(caches), 1, 0, length);
            case 7 -> new FaultSpec(at, FaultKind.DISCOVERY_OUTAGE, "any", 1, 0, length);
            case 8 -> new FaultSpec(at, FaultKind.WATCH_SILENT, "any", 1, 22 * NANOS_PER_SECOND, 0);
            case 9 -> new FaultSpec(at, FaultKind.RELOAD, "any-" + between(1, 4), 1, 0, 0);
            case 10 ->
                    new FaultSpec(
                            at,
                            FaultKind.BALANCER_PAUSE,
                            "any-" + between(1, 4),
                            1,
                            between(20, 150) * NANOS_PER_MILLISECOND,
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
                            between(200, 2_000) * NANOS_PER_MILLISECOND,
                            length);
        };
    }

    private long drawStartNanos(long last) {
        return FIRST_FAULT_NANOS + (long) (random.nextDouble() * (last - FIRST_FAULT_NANOS));
    }

    /** Returns a random target of up to half of the caches. */
    private String anyOf(int caches) {
        return "any-" + between(1, caches / 2);
    }
}
