package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.Server;

import org.junit.jupiter.api.Test;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Checks the limit of a server in slow start for the sum over many balancers, which share no state.
 * Each has little traffic with bursts, and some restart and lose the record of their earlier sends.
 */
class SlowStartSumTest {
    private static final int SERVERS = 16;
    private static final long COLD_SERVER = 99;

    /** Requests per second that one warm server can serve. */
    private static final double FULL_RATE_PER_SECOND = 14;

    private static final double SLOW_START_INITIAL_FRACTION = 0.2;
    private static final long SLOW_START_MILLIS = 10_000;

    /** The work of an ordinary request. */
    private static final long ORDINARY_WORK_NANOS = 70 * PolicyTestFixture.NANOS_PER_MILLI;

    /**
     * The work of requests. Windows are judged in requests of mean work.
     *
     * @param heavyFactor work of a heavy request, as a multiple of an ordinary one's
     * @param hinted whether requests carry a hint of their work
     * @param hintError relative error of the hints
     */
    private record WorkMix(
            double heavyFraction, double heavyFactor, boolean hinted, double hintError) {
        static final WorkMix EQUAL = new WorkMix(0, 1, false, 0);

        /** Draws the work of a request, as a multiple of the mean work. */
        double draw(Random random) {
            boolean isHeavy = heavyFraction > 0 && random.nextDouble() < heavyFraction;
            return (isHeavy ? heavyFactor : 1) / mean();
        }

        /** The mean work, as a multiple of an ordinary request's. */
        double mean() {
            return 1 + heavyFraction * (heavyFactor - 1);
        }

        long hintNanos(double work, Random random) {
            double error = 1 + hintError * (2 * random.nextDouble() - 1);
            return hinted ? (long) (work * mean() * ORDINARY_WORK_NANOS * error) : 0;
        }

        /**
         * Returns the limit on a second's work, in requests of mean work, with the slack for
         * chance. The operators' page allows more than is needed for equal work.
         *
         * @param ordinaryPerSecond ordinary requests that the server may get in a second
         */
        double limit(double ordinaryPerSecond) {
            double allowed = ordinaryPerSecond / mean();
            return heavyFraction > 0 && allowed < 30
                    ? allowed + 3 * Math.sqrt(allowed) + 3
                    : allowed + 2 * Math.sqrt(allowed) + 2;
        }
    }

    private record Arrival(long atNanos, double work) {}

    /** The work that arrived within the last second. */
    private static final class WorkWindow {
        private final Deque<Arrival> arrivals = new ArrayDeque<>();
        private double work;

        /** Adds the work of a request and returns the sum. */
        double add(long now, double requestWork) {
            arrivals.add(new Arrival(now, requestWork));
            work += requestWork;
            while (arrivals.peek().atNanos() <= now - 1_000 * PolicyTestFixture.NANOS_PER_MILLI) {
                work -= arrivals.poll().work();
            }
            return work;
        }
    }

    private record PendingCompletion(
            long atNanos, PolicyTestFixture fixture, long request, int attempt) {}

    private static PolicyTestFixture balancer(
            double overloadMultiple,
            int instanceIndex,
            int instanceCount,
            long seed,
            long now,
            long bootedAtNanos) {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.instanceCount = instanceCount;
        builder.instanceIndex = instanceIndex;
        builder.overloadMultiple = overloadMultiple;
        PolicyTestFixture fixture = new PolicyTestFixture(builder, seed);
        fixture.now = now;
        List<Server> list = new ArrayList<>();
        for (int i = 1; i < SERVERS; i++) {
            list.add(PolicyTestFixture.server(i));
        }
        if (bootedAtNanos > 0) {
            list.add(PolicyTestFixture.server(COLD_SERVER, EndpointState.READY, bootedAtNanos));
        }
        return fixture.updateEndpoints(list);
    }

    /** Returns the most work in any second, as a fraction of the allowed work. */
    private static double worstOverrun(
            double overloadMultiple,
            int instanceCount,
            double load,
            boolean restarts,
            WorkMix workMix,
            long seed) {
        Random random = new Random(seed);
        long startNanos = 1_000_000 * PolicyTestFixture.NANOS_PER_MILLI;
        List<PolicyTestFixture> fixtures = new ArrayList<>();
        for (int i = 0; i < instanceCount; i++) {
            fixtures.add(
                    balancer(overloadMultiple, i, instanceCount, random.nextLong(), startNanos, 0));
        }
        PriorityQueue<PendingCompletion> completions =
                new PriorityQueue<>(Comparator.comparingLong(PendingCompletion::atNanos));
        WorkWindow window = new WorkWindow();
        long bootedAtNanos = startNanos + 8_000 * PolicyTestFixture.NANOS_PER_MILLI;
        double worst = 0;
        long id = 0;
        boolean isNotified = false;
        int restartCount = 0;
        for (long now = startNanos;
                now < bootedAtNanos + SLOW_START_MILLIS * PolicyTestFixture.NANOS_PER_MILLI; ) {
            double secondsSinceBoot = (now - bootedAtNanos) / 1e9;
            double rate = requestsPerSecond(secondsSinceBoot, load);
            now += (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
            completeUntil(now, completions);
            if (!isNotified && now >= bootedAtNanos) {
                isNotified = true;
                addColdServer(now, fixtures, bootedAtNanos);
            }
            if (restarts && isNotified && secondsSinceBoot > 0.3 * (restartCount + 1)) {
                fixtures.set(
                        restartCount % instanceCount,
                        balancer(
                                overloadMultiple,
                                restartCount % instanceCount,
                                instanceCount,
                                random.nextLong(),
                                now,
                                bootedAtNanos));
                restartCount++;
            }
            PolicyTestFixture fixture = randomBalancer(fixtures, random);
            fixture.now = now;
            double work = workMix.draw(random);
            long hint = workMix.hintNanos(work, random);
            PolicyTestFixture.Sent sent =
                    fixture.request(++id, PolicyTestFixture.READ, key(random), 0, false, hint);
            if (sent == null) {
                continue;
            }
            long completedAtNanos = now + serviceNanos(random);
            completions.add(new PendingCompletion(completedAtNanos, fixture, id, 0));
            if (sent.server() == COLD_SERVER) {
                double limit = workMix.limit(allowedPerSecond(overloadMultiple, secondsSinceBoot));
                worst = Math.max(worst, window.add(now, work) / limit);
            }
        }
        return worst;
    }

    private static double requestsPerSecond(double secondsSinceBoot, double load) {
        boolean isBurst =
                secondsSinceBoot > 1 && secondsSinceBoot < 3
                        || secondsSinceBoot > 5 && secondsSinceBoot < 6;
        return SERVERS * FULL_RATE_PER_SECOND * load * (isBurst ? 1.6 : 1);
    }

    private static void completeUntil(long now, PriorityQueue<PendingCompletion> completions) {
        while (!completions.isEmpty() && completions.peek().atNanos <= now) {
            PendingCompletion completion = completions.poll();
            completion.fixture.now = completion.atNanos;
            completion.fixture.outcome(completion.request, completion.attempt, AttemptResult.OK);
        }
    }

    private static void addColdServer(
            long now, List<PolicyTestFixture> fixtures, long bootedAtNanos) {
        for (PolicyTestFixture fixture : fixtures) {
            fixture.now = now;
            fixture.updateEndpointsByDelta(
                    PolicyTestFixture.server(COLD_SERVER, EndpointState.READY, bootedAtNanos));
        }
    }

    /** Chooses a balancer unevenly: some get several times the mean traffic. */
    private static PolicyTestFixture randomBalancer(
            List<PolicyTestFixture> fixtures, Random random) {
        int index = (int) (fixtures.size() * Math.pow(random.nextDouble(), 1.5));
        return fixtures.get(Math.min(fixtures.size() - 1, index));
    }

    private static long serviceNanos(Random random) {
        return (long) (70 * PolicyTestFixture.NANOS_PER_MILLI * (0.5 + random.nextDouble()));
    }

    private static double allowedPerSecond(double overloadMultiple, double secondsSinceBoot) {
        double slowStartFraction =
                SLOW_START_INITIAL_FRACTION
                        + (1 - SLOW_START_INITIAL_FRACTION)
                                * Math.min(1, secondsSinceBoot * 1_000 / SLOW_START_MILLIS);
        return overloadMultiple * slowStartFraction * FULL_RATE_PER_SECOND;
    }

    /** Chooses a key unevenly: some are requested hundreds of times as often as others. */
    private static long key(Random random) {
        return (long) Math.pow(3_000, random.nextDouble());
    }

    @Test
    void allBalancersTogetherStayWithinTheSlowStartLimit() {
        for (double overloadMultiple : new double[] {2, 4}) {
            for (int instanceCount : new int[] {1, 6, 20, 30}) {
                assertWithinLimit(overloadMultiple, instanceCount, false, WorkMix.EQUAL);
                assertWithinLimit(overloadMultiple, instanceCount, true, WorkMix.EQUAL);
            }
        }
        assertWithinLimit(4, 100, true, WorkMix.EQUAL);
    }

    /**
     * Guards against a few heavy reads that each cost more than a cold server may get in a window:
     * counted as attempts like any others, they pushed it over.
     */
    @Test
    void allBalancersTogetherStayWithinTheSlowStartLimitInWork() {
        for (double heavyFactor : new double[] {6.6, 27}) {
            for (double hintError : new double[] {0.1, 0.33}) {
                WorkMix workMix = new WorkMix(0.023, heavyFactor, true, hintError);
                for (int instanceCount : new int[] {1, 6, 100}) {
                    assertWithinLimit(4, instanceCount, false, workMix);
                    assertWithinLimit(4, instanceCount, true, workMix);
                }
            }
        }
    }

    private static void assertWithinLimit(
            double overloadMultiple, int instanceCount, boolean restarts, WorkMix workMix) {
        for (long seed = 1; seed <= 5; seed++) {
            double worst =
                    worstOverrun(overloadMultiple, instanceCount, 0.8, restarts, workMix, seed);
            assertTrue(worst > 0, "the cold server gets some attempts");
            assertTrue(
                    worst <= 1,
                    overloadMultiple
                            + " overload multiple, "
                            + instanceCount
                            + " balancers, restarts "
                            + restarts
                            + ", "
                            + workMix
                            + ", seed "
                            + seed
                            + ": "
                            + worst);
        }
    }
}
