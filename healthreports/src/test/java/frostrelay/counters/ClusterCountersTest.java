package frostrelay.counters;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.gossip.Datagrams;
import frostrelay.gossip.Incarnation;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * Checks that cluster totals stay within their bounds when sections are lost, delayed, duplicated
 * or truncated.
 */
class ClusterCountersTest {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLISECOND;
    private static final long START_UNIX_MILLIS = 1_790_000_000_000L;
    private static final int SECTION = 34;

    @Provide
    Arbitrary<GrowOnlyCounters> vectors() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, 2),
                        Arbitraries.longs()
                                .between(0, 4)
                                .list()
                                .ofSize(GrowOnlyCounters.COUNTER_COUNT))
                .as(
                        (startedAtUnixMillis, values) ->
                                new GrowOnlyCounters(
                                        startedAtUnixMillis,
                                        values.stream().mapToLong(Long::longValue).toArray()));
    }

    @Property(tries = 1_000)
    void mergeIsCommutativeAssociativeAndIdempotent(
            @ForAll("vectors") GrowOnlyCounters a,
            @ForAll("vectors") GrowOnlyCounters b,
            @ForAll("vectors") GrowOnlyCounters c) {
        assertEquals(GrowOnlyCounters.merge(a, b), GrowOnlyCounters.merge(b, a));
        assertEquals(
                GrowOnlyCounters.merge(GrowOnlyCounters.merge(a, b), c),
                GrowOnlyCounters.merge(a, GrowOnlyCounters.merge(b, c)));
        assertEquals(a, GrowOnlyCounters.merge(a, a));
        assertEquals(a, GrowOnlyCounters.merge(null, a));
    }

    private static ClusterCounters newCounters(
            int localRank, int clusterSize, long now, long wallMs) {
        return new ClusterCounters(
                ClusterCounterSettings.STANDARD,
                localRank,
                clusterSize,
                now,
                Incarnation.fromUnixMillis(wallMs),
                rank -> true,
                (to, type, section) -> {});
    }

    /** Returns the section that a balancer would send to a peer now; empty if none is due. */
    private static ByteBuffer encodedFor(ClusterCounters source, long now, int to) {
        ByteBuffer loaded = Datagrams.loaded(source, now, to);
        return loaded.hasRemaining() ? loaded.slice(2, loaded.remaining() - 2) : loaded;
    }

    private record DelayedSection(
            long sentAtNanos,
            long deliverAtNanos,
            int from,
            long startedAtUnixMillis,
            ByteBuffer section) {}

    /**
     * Four balancers with uneven traffic; sections to the first are lost, duplicated, delayed by up
     * to two seconds and reordered.
     */
    private static final class SimulatedCluster {
        static final int SIZE = 4;
        final Random random;
        final int lossPercent;
        final ClusterCounters[] all = new ClusterCounters[SIZE];
        final long[] startTimes = new long[SIZE];
        final long[] trueCounts = new long[SIZE];
        final List<DelayedSection> inTransit = new ArrayList<>();
        long now = NANOS_PER_SECOND;

        SimulatedCluster(long seed, int lossPercent) {
            random = new Random(seed);
            this.lossPercent = lossPercent;
            for (int i = 0; i < SIZE; i++) {
                startTimes[i] = START_UNIX_MILLIS + i;
                all[i] = newCounters(i, SIZE, now, startTimes[i]);
            }
        }

        /** Delivers one section of each peer; without one the upper bound would be infinite. */
        void deliverFirstSections() {
            for (int i = 1; i < SIZE; i++) {
                all[0].onSection(
                        now,
                        0,
                        i,
                        Incarnation.fromUnixMillis(startTimes[i]),
                        SECTION,
                        encodedFor(all[i], now, 0));
            }
        }

        void step() {
            now += 20 * NANOS_PER_MILLISECOND;
            for (int i = 0; i < SIZE; i++) {
                if (random.nextInt(i + 1) == 0) {
                    all[i].increment(ClusterCounter.SENDS);
                    trueCounts[i]++;
                }
            }
            int i = 1 + random.nextInt(SIZE - 1);
            ByteBuffer section = encodedFor(all[i], now, 0);
            if (section.hasRemaining() && random.nextInt(100) >= lossPercent) {
                inTransit.add(delayed(i, section));
                if (random.nextBoolean()) {
                    inTransit.add(delayed(i, section.duplicate()));
                }
            }
            inTransit.removeIf(this::deliverIfDue);
        }

        private DelayedSection delayed(int from, ByteBuffer section) {
            return new DelayedSection(
                    now,
                    now + random.nextInt(2_000) * NANOS_PER_MILLISECOND,
                    from,
                    startTimes[from],
                    section);
        }

        private boolean deliverIfDue(DelayedSection delayed) {
            if (delayed.deliverAtNanos > now) {
                return false;
            }
            all[0].onSection(
                    now,
                    now - delayed.sentAtNanos,
                    delayed.from,
                    Incarnation.fromUnixMillis(delayed.startedAtUnixMillis),
                    SECTION,
                    delayed.section);
            return true;
        }
    }

    /** Checks at each step that the true total lies between the known one and the upper bound. */
    @Property(tries = 150)
    void trueTotalLiesBetweenKnownTotalAndUpperBound(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 60) int lost) {
        SimulatedCluster cluster = new SimulatedCluster(seed, lost);
        ClusterCounters first = cluster.all[0];
        cluster.deliverFirstSections();
        for (int step = 0; step < 400; step++) {
            cluster.step();
            if (step % 50 == 0) {
                first.tick(cluster.now);
            }
            CounterTotal sum = first.total(cluster.now, ClusterCounter.SENDS);
            long sent = Arrays.stream(cluster.trueCounts).sum();
            assertTrue(
                    sum.known() <= sent && sent <= sum.upperBound(),
                    step + ": " + sum + " and " + sent);
            assertEquals(
                    cluster.trueCounts[0],
                    first.total(cluster.now, ClusterCounter.SENDS).known()
                            - first.peerCounters(cluster.now).stream()
                                    .filter(row -> isFresh(row))
                                    .mapToLong(row -> row.values()[ClusterCounter.SENDS.ordinal()])
                                    .sum());
        }
        long restartedAt = START_UNIX_MILLIS + 99_000;
        first.onSection(
                cluster.now,
                0,
                1,
                Incarnation.fromUnixMillis(restartedAt),
                SECTION,
                encodedFor(
                        newCounters(1, SimulatedCluster.SIZE, cluster.now, restartedAt),
                        cluster.now,
                        0));
        assertEquals(
                0,
                first.peerCounters(cluster.now).get(0).values()[ClusterCounter.SENDS.ordinal()],
                "a later incarnation starts counting at 0");
    }

    private static boolean isFresh(ClusterCounters.PeerCounters row) {
        return row.ageNanos() < ClusterCounterSettings.STANDARD.expiryNanos();
    }

    @Test
    void withoutSectionsARateMovesGraduallyToTheLocalRateTimesTheClusterSize() {
        ClusterCounters local = newCounters(0, 5, 0, START_UNIX_MILLIS);
        ClusterCounters[] peers = new ClusterCounters[5];
        for (int i = 1; i < 5; i++) {
            peers[i] = newCounters(i, 5, 0, START_UNIX_MILLIS + i);
        }
        long now = 0;
        for (int second = 1; second <= 5; second++) {
            now = second * NANOS_PER_SECOND;
            for (int i = 1; i < 5; i++) {
                for (int n = 0; n < 100; n++) {
                    peers[i].increment(ClusterCounter.FIRST_TRIES);
                }
                local.onSection(
                        now,
                        0,
                        i,
                        Incarnation.fromUnixMillis(START_UNIX_MILLIS + i),
                        SECTION,
                        encodedFor(peers[i], now, 0));
            }
            for (int n = 0; n < 10; n++) {
                local.increment(ClusterCounter.FIRST_TRIES);
            }
            local.tick(now);
        }
        assertEquals(410, local.total(now, ClusterCounter.FIRST_TRIES).ratePerSecond(), 1);
        assertEquals(5, local.total(now, ClusterCounter.FIRST_TRIES).coveredMembers());
        double before = local.total(now, ClusterCounter.FIRST_TRIES).ratePerSecond();
        for (int tenth = 1; tenth <= 120; tenth++) {
            now += NANOS_PER_SECOND / 10;
            if (tenth % 10 == 0) {
                for (int n = 0; n < 10; n++) {
                    local.increment(ClusterCounter.FIRST_TRIES);
                }
                local.tick(now);
            }
            double rate = local.total(now, ClusterCounter.FIRST_TRIES).ratePerSecond();
            assertTrue(
                    rate <= before + 1e-6 && before - rate < 60, "from " + before + " to " + rate);
            before = rate;
        }
        assertEquals(50, before, 1);
        CounterTotal alone = local.total(now, ClusterCounter.FIRST_TRIES);
        assertEquals(1, alone.coveredMembers());
        assertEquals(5, alone.aliveMembers());
        assertTrue(
                alone.upperBound() >= 4 * 500 + alone.known(),
                "a peer with expired counters is not counted as 0: " + alone);
        ClusterCounters fresh = newCounters(0, 5, now, START_UNIX_MILLIS);
        assertEquals(
                Double.POSITIVE_INFINITY,
                fresh.total(now, ClusterCounter.SENDS).upperBound(),
                "without a section from a peer the upper bound is infinite");
    }

    @Test
    void implausibleAndTruncatedSectionsAreRejected() {
        ClusterCounters local = newCounters(0, 3, 0, START_UNIX_MILLIS);
        ClusterCounters other = newCounters(1, 3, 0, START_UNIX_MILLIS + 1);
        local.onSection(
                NANOS_PER_SECOND,
                0,
                1,
                Incarnation.fromUnixMillis(START_UNIX_MILLIS + 1),
                SECTION,
                encodedFor(other, NANOS_PER_SECOND, 0));
        long[] hugeValues = new long[GrowOnlyCounters.COUNTER_COUNT];
        Arrays.fill(hugeValues, 1L << 39);
        ByteBuffer implausible = ByteBuffer.allocate(GrowOnlyCounters.encodedBytes());
        new GrowOnlyCounters(0, hugeValues).write(implausible);
        local.onSection(
                2 * NANOS_PER_SECOND,
                0,
                1,
                Incarnation.fromUnixMillis(START_UNIX_MILLIS + 1),
                SECTION,
                implausible.flip());
        assertEquals(0, local.total(2 * NANOS_PER_SECOND, ClusterCounter.SENDS).known());
        assertEquals(1, local.rejectedCount());
        local.onSection(
                2 * NANOS_PER_SECOND,
                0,
                2,
                Incarnation.fromUnixMillis(START_UNIX_MILLIS + 2),
                SECTION,
                ByteBuffer.wrap(new byte[] {1, 2, 3}));
        local.onSection(
                2 * NANOS_PER_SECOND,
                0,
                9,
                Incarnation.fromUnixMillis(START_UNIX_MILLIS + 2),
                SECTION,
                implausible.rewind());
        assertEquals(2, local.total(2 * NANOS_PER_SECOND, ClusterCounter.SENDS).coveredMembers());
    }
}
