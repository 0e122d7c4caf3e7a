package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A cold host bears only so much of all balancers together, and they share nothing: the sum over
 * many of them, each with little traffic, with bursts, and with some that start anew and know
 * nothing of what they sent.
 */
class ColdSumTest {
    private static final int HOSTS = 16;
    private static final long COLD = 99;

    /** Requests a second that one warm host can do. */
    private static final double FULL_RATE = 14;

    private static final double COLD_FROM = 0.2;
    private static final long WARM_MS = 10_000;

    private record Ending(long at, Bed bed, long request, int attempt) {}

    private static Bed balancer(
            double tip, int rank, int instances, long seed, long now, long bootedAt) {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.instances = instances;
        builder.rank = rank;
        builder.tip = tip;
        Bed bed = new Bed(builder, seed);
        bed.now = now;
        List<Api.Server> list = new ArrayList<>();
        for (int i = 1; i < HOSTS; i++) {
            list.add(Bed.server(i));
        }
        if (bootedAt > 0) {
            list.add(Bed.server(COLD, Api.State.READY, bootedAt));
        }
        return bed.list(list);
    }

    /** The most by which the sum of any second went over what is borne, as a part of that. */
    private static double worst(
            double tip, int instances, double load, boolean restarts, long seed) {
        Random random = new Random(seed);
        long start = 1_000_000 * Bed.MS;
        List<Bed> beds = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            beds.add(balancer(tip, i, instances, random.nextLong(), start, 0));
        }
        PriorityQueue<Ending> endings = new PriorityQueue<>(Comparator.comparingLong(Ending::at));
        Deque<Long> window = new ArrayDeque<>();
        long booted = start + 8_000 * Bed.MS;
        double worst = 0;
        long id = 0;
        boolean told = false;
        int restarted = 0;
        for (long now = start; now < booted + WARM_MS * Bed.MS; ) {
            double sinceBoot = (now - booted) / 1e9;
            boolean burst = sinceBoot > 1 && sinceBoot < 3 || sinceBoot > 5 && sinceBoot < 6;
            double rate = HOSTS * FULL_RATE * load * (burst ? 1.6 : 1);
            now += (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
            while (!endings.isEmpty() && endings.peek().at <= now) {
                Ending ending = endings.poll();
                ending.bed.now = ending.at;
                ending.bed.outcome(ending.request, ending.attempt, Api.Reason.OK);
            }
            if (!told && now >= booted) {
                told = true;
                for (Bed bed : beds) {
                    bed.now = now;
                    bed.delta(Bed.server(COLD, Api.State.READY, booted));
                }
            }
            if (restarts && told && sinceBoot > 0.3 * (restarted + 1)) {
                beds.set(
                        restarted % instances,
                        balancer(
                                tip,
                                restarted % instances,
                                instances,
                                random.nextLong(),
                                now,
                                booted));
                restarted++;
            }
            // Some see several times the mean.
            Bed bed =
                    beds.get(
                            Math.min(
                                    instances - 1,
                                    (int) (instances * Math.pow(random.nextDouble(), 1.5))));
            bed.now = now;
            Bed.Sent sent = bed.request(++id, Bed.READ, key(random));
            if (sent == null) {
                continue;
            }
            endings.add(
                    new Ending(
                            now + (long) (70 * Bed.MS * (0.5 + random.nextDouble())), bed, id, 0));
            if (sent.server() == COLD) {
                window.add(now);
                while (window.peek() <= now - 1_000 * Bed.MS) {
                    window.poll();
                }
                double share =
                        COLD_FROM + (1 - COLD_FROM) * Math.min(1, sinceBoot * 1_000 / WARM_MS);
                double allowed = tip * share * FULL_RATE;
                worst = Math.max(worst, window.size() / (allowed + 2 * Math.sqrt(allowed) + 2));
            }
        }
        return worst;
    }

    /** Popularity is uneven: some keys are asked for hundreds of times as often as others. */
    private static long key(Random random) {
        return (long) Math.pow(3_000, random.nextDouble());
    }

    @Test
    void allTogetherStayWithinWhatAColdHostBears() {
        for (double tip : new double[] {2, 4}) {
            for (int instances : new int[] {1, 6, 20, 30}) {
                within(tip, instances, false);
                within(tip, instances, true);
            }
        }
        within(4, 100, true);
    }

    private static void within(double tip, int instances, boolean restarts) {
        for (long seed = 1; seed <= 5; seed++) {
            double worst = worst(tip, instances, 0.8, restarts, seed);
            assertTrue(worst > 0, "it gets its part");
            assertTrue(
                    worst <= 1,
                    tip
                            + " times, "
                            + instances
                            + " balancers, restarts "
                            + restarts
                            + ", seed "
                            + seed
                            + ": "
                            + worst);
        }
    }
}
