package frostrelay.healthreports;

import static frostrelay.healthreports.AttemptObservation.SILENT;
import static frostrelay.healthreports.ReportSections.sendDirect;
import static frostrelay.healthreports.ReportSections.sendRelayed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Tests of outliers found by peers' reports, with faulty reporters and in any order of arrival. */
class HealthReportAggregatorTest implements HealthReportAggregator.Actions {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLISECOND;
    private static final long INCARNATION = Incarnation.fromUnixMillis(1_790_000_000_000L);
    private static final int SERVER_START = 7;

    private Set<Long> outliers = Set.of();
    private final List<Integer> recipients = new ArrayList<>();
    private boolean bandwidthExhausted;

    @Override
    public void setOutliers(Set<Long> caches) {
        outliers = caches;
    }

    @Override
    public void onLocallyUnhealthy(long cache) {
        // Not part of these tests.
    }

    @Override
    public boolean sendSection(int to, int type, ByteBuffer section) {
        recipients.add(to);
        return !bandwidthExhausted;
    }

    @Override
    public void onReportsPending() {
        // The tests deliver sections themselves.
    }

    private HealthReportAggregator newAggregator(
            int clusterSize, int caches, HealthReportAggregator.Trust trust) {
        HealthReportAggregator node =
                new HealthReportAggregator(
                        HealthReportSettings.STANDARD, 0, clusterSize, INCARNATION, trust, this);
        Map<Long, Long> listed = new HashMap<>();
        for (long i = 1; i <= caches; i++) {
            listed.put(i, (long) SERVER_START);
        }
        node.onEndpointList(0, listed);
        return node;
    }

    private static HealthReport unhealthy(
            int rank, int sequenceNumber, AttemptObservation observation) {
        return new HealthReport(
                rank, INCARNATION, sequenceNumber, SERVER_START, 0, 2, observation.bit());
    }

    private static HealthReport healthy(int rank, int sequenceNumber) {
        return new HealthReport(rank, INCARNATION, sequenceNumber, SERVER_START, 3, 0, 0);
    }

    @Provide
    Arbitrary<HealthReport> reports() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.integers().between(0, 9),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 7))
                .as(
                        (incarnation,
                                sequenceNumber,
                                serverStart,
                                successes,
                                failures,
                                observationBits) ->
                                new HealthReport(
                                        5,
                                        incarnation << 7,
                                        sequenceNumber,
                                        serverStart,
                                        successes,
                                        failures,
                                        observationBits));
    }

    @Property(tries = 1_000)
    void newerOfIsCommutativeAssociativeAndIdempotent(
            @ForAll("reports") HealthReport a,
            @ForAll("reports") HealthReport b,
            @ForAll("reports") HealthReport c) {
        assertEquals(HealthReport.newerOf(a, b), HealthReport.newerOf(b, a));
        assertEquals(
                HealthReport.newerOf(HealthReport.newerOf(a, b), c),
                HealthReport.newerOf(a, HealthReport.newerOf(b, c)));
        assertEquals(a, HealthReport.newerOf(a, a));
        assertEquals(a, HealthReport.newerOf(a, null));
    }

    /** Checks that the order and duplication of reports do not affect the result. */
    @Property(tries = 200)
    void orderAndDuplicationOfReportsDoNotAffectTheResult(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int messages) {
        Random random = new Random(seed);
        List<HealthReport> all = new ArrayList<>();
        for (int i = 0; i < messages; i++) {
            int rank = 1 + random.nextInt(5);
            all.add(
                    random.nextBoolean()
                            ? unhealthy(rank, random.nextInt(6), SILENT)
                            : healthy(rank, random.nextInt(6)));
        }
        List<HealthReport> other = new ArrayList<>(all);
        other.addAll(all.subList(0, random.nextInt(messages)));
        Collections.shuffle(other, random);
        // All tries share one instance of this class.
        outliers = Set.of();
        HealthReportAggregator node = newAggregator(8, 6, (now, rank) -> true);
        all.forEach(report -> sendDirect(node, NANOS_PER_SECOND, 1, report, 0));
        Set<Long> first = outliers;
        outliers = Set.of();
        HealthReportAggregator second = newAggregator(8, 6, (now, rank) -> true);
        other.forEach(report -> sendDirect(second, NANOS_PER_SECOND, 1, report, 0));
        assertEquals(
                node.reportAges(NANOS_PER_SECOND, 1).keySet(),
                second.reportAges(NANOS_PER_SECOND, 1).keySet());
        assertEquals(first, outliers);
        assertTrue(node.reportAges(NANOS_PER_SECOND, 1).size() <= 5);
    }

    @Test
    void theThirdReporterEjectsACacheUntilALocalFreshSuccessExpiryOrARestart() {
        HealthReportAggregator node = newAggregator(6, 6, (now, rank) -> true);
        sendDirect(node, NANOS_PER_SECOND, 2, unhealthy(1, 1, SILENT), 0);
        sendDirect(node, NANOS_PER_SECOND, 2, unhealthy(1, 2, SILENT), 0);
        sendDirect(node, NANOS_PER_SECOND, 2, unhealthy(2, 1, AttemptObservation.RESET), 0);
        assertEquals(Set.of(), outliers, "two reporters, one of them twice");
        sendDirect(node, NANOS_PER_SECOND, 2, unhealthy(3, 1, AttemptObservation.UNREACHABLE), 20);
        assertEquals(Set.of(2L), outliers);
        node.onAttemptObserved(
                2 * NANOS_PER_SECOND, 2, AttemptObservation.ANSWERED, 2 * NANOS_PER_SECOND);
        assertEquals(Set.of(), outliers, "the cache has just answered this balancer");
        node.onTimer(3 * NANOS_PER_SECOND + NANOS_PER_MILLISECOND);
        assertEquals(Set.of(), outliers, "the answer supersedes older reports");
        sendDirect(node, 4 * NANOS_PER_SECOND, 2, unhealthy(1, 3, SILENT), 0);
        sendDirect(node, 4 * NANOS_PER_SECOND, 2, unhealthy(2, 2, SILENT), 0);
        sendDirect(node, 4 * NANOS_PER_SECOND, 2, unhealthy(3, 2, SILENT), 5);
        assertEquals(Set.of(2L), outliers, "newer reports count");
        node.onTimer(13 * NANOS_PER_SECOND + 600 * NANOS_PER_MILLISECOND);
        assertEquals(Set.of(), outliers, "the third report was half a second old on arrival");
        sendDirect(node, 14 * NANOS_PER_SECOND, 3, unhealthy(1, 1, SILENT), 0);
        sendDirect(node, 14 * NANOS_PER_SECOND, 3, unhealthy(2, 1, SILENT), 0);
        sendDirect(node, 14 * NANOS_PER_SECOND, 3, unhealthy(4, 1, SILENT), 0);
        assertEquals(Set.of(3L), outliers);
        node.onEndpointList(
                15 * NANOS_PER_SECOND, Map.of(1L, 7L, 2L, 7L, 3L, 8L, 4L, 7L, 5L, 7L, 6L, 7L));
        assertEquals(Set.of(), outliers, "the cache has restarted");
    }

    @Test
    void untrustedAndFalseReportersAreLimitedAndAnIsolatedBalancerEjectsNothing() {
        HealthReportAggregator node = newAggregator(8, 9, (now, rank) -> rank != 5);
        for (long cache = 1; cache <= 9; cache++) {
            sendDirect(node, NANOS_PER_SECOND, cache, unhealthy(1, 1, SILENT), 0);
            sendDirect(node, NANOS_PER_SECOND, cache, unhealthy(5, 1, SILENT), 0);
            sendDirect(
                    node,
                    NANOS_PER_SECOND,
                    cache,
                    new HealthReport(1, INCARNATION + (1L << 20), 1, SERVER_START, 0, 255, 63),
                    0);
        }
        assertEquals(
                Set.of(),
                outliers,
                "one faulty reporter in two incarnations, and one untrusted reporter");
        for (long cache = 1; cache <= 9; cache++) {
            sendDirect(node, NANOS_PER_SECOND, cache, unhealthy(2, 1, SILENT), 0);
            sendDirect(node, NANOS_PER_SECOND, cache, unhealthy(3, 1, SILENT), 0);
        }
        assertEquals(
                3, outliers.size(), "three false reporters eject a third of the caches at most");
        node.onIsolation(2 * NANOS_PER_SECOND, true);
        assertEquals(Set.of(), outliers);
    }

    /**
     * Checks that a faulty peer counts as one reporter, whether it writes reports under its own
     * rank or under those of others, and whether correct peers relay them.
     */
    @Property(tries = 300)
    void aFaultyPeerCountsAsOneReporterInDirectAndRelayedReports(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 2) int faultyPeers) {
        outliers = Set.of();
        Random random = new Random(seed);
        HealthReportAggregator node = newAggregator(40, 6, (now, rank) -> true);
        for (int i = 0; i < 60; i++) {
            long now = NANOS_PER_SECOND + i * NANOS_PER_MILLISECOND;
            int faultyPeer = 1 + random.nextInt(faultyPeers);
            switch (random.nextInt(3)) {
                case 0 -> sendDirect(node, now, 1, unhealthy(faultyPeer, i, SILENT), 0);
                case 1 ->
                        sendRelayed(
                                node, now, 1, faultyPeer, unhealthy(random.nextInt(40), i, SILENT));
                default ->
                        sendRelayed(
                                node,
                                now,
                                1,
                                3 + random.nextInt(37),
                                unhealthy(faultyPeer, i, SILENT));
            }
            assertEquals(Set.of(), outliers, "two reporters at most");
        }
        for (int rank = 10; rank < 13; rank++) {
            sendDirect(node, 2 * NANOS_PER_SECOND, 1, unhealthy(rank, 1, SILENT), 0);
        }
        assertEquals(Set.of(1L), outliers);
    }

    @Test
    void reportsRelayedByThreePeersCountUntilAReporterRevokesItsOwn() {
        HealthReportAggregator node = newAggregator(40, 6, (now, rank) -> true);
        sendRelayed(node, NANOS_PER_SECOND, 1, 5, unhealthy(15, 1, SILENT));
        sendRelayed(node, NANOS_PER_SECOND, 1, 5, unhealthy(16, 1, SILENT));
        sendRelayed(node, NANOS_PER_SECOND, 1, 6, unhealthy(16, 1, SILENT));
        sendRelayed(node, NANOS_PER_SECOND, 1, 6, unhealthy(17, 1, SILENT));
        assertEquals(Set.of(), outliers, "three reporters, but only two relays");
        sendRelayed(node, NANOS_PER_SECOND, 1, 7, unhealthy(17, 1, SILENT));
        assertEquals(Set.of(1L), outliers);
        sendRelayed(node, NANOS_PER_SECOND, 1, 8, healthy(16, 9));
        assertEquals(Set.of(1L), outliers, "a relayed healthy report does not count");
        sendDirect(node, NANOS_PER_SECOND, 1, healthy(16, 2), 0);
        assertEquals(Set.of(), outliers);
    }

    /**
     * In a small cluster each peer is sent a report twice; a send that the bandwidth limit rejects
     * does not count.
     */
    @Test
    void reportsRejectedByTheBandwidthLimitAreSentLater() {
        HealthReportAggregator node = newAggregator(4, 6, (now, rank) -> true);
        bandwidthExhausted = true;
        node.onAttemptObserved(NANOS_PER_SECOND, 2, AttemptObservation.RESET, NANOS_PER_SECOND);
        node.onTimer(node.nextWakeupNanos());
        assertEquals(List.of(1, 2, 3), recipients);
        bandwidthExhausted = false;
        recipients.clear();
        for (int i = 0; i < 12; i++) {
            node.onTimer(node.nextWakeupNanos());
        }
        assertEquals(List.of(1, 2, 3, 1, 2, 3), recipients);
    }

    @Test
    void manyReachableCachesThatFailAtOnceAreNotOutliers() {
        HealthReportAggregator node = newAggregator(6, 6, (now, rank) -> true);
        for (long cache = 1; cache <= 4; cache++) {
            for (int rank = 1; rank <= 3; rank++) {
                sendDirect(
                        node,
                        NANOS_PER_SECOND,
                        cache,
                        unhealthy(rank, 1, AttemptObservation.FAILED),
                        0);
            }
        }
        assertEquals(Set.of(), outliers);
        for (int rank = 1; rank <= 3; rank++) {
            sendDirect(
                    node,
                    NANOS_PER_SECOND,
                    5,
                    unhealthy(rank, 1, AttemptObservation.UNREACHABLE),
                    0);
        }
        assertEquals(
                Set.of(5L),
                outliers,
                "an unreachable cache is an outlier despite the common cause");
    }

    /**
     * Reads that need a slow origin stay unanswered while the cache answers other reads; such a
     * cache is not unhealthy.
     */
    @Test
    void slowKeysDoNotMakeACacheUnhealthy() {
        HealthReportAggregator node = newAggregator(6, 6, (now, rank) -> true);
        for (int i = 1; i <= 6; i++) {
            node.onAttemptObserved(
                    i * NANOS_PER_SECOND + 200 * NANOS_PER_MILLISECOND,
                    1,
                    AttemptObservation.ANSWERED,
                    i * NANOS_PER_SECOND + 100 * NANOS_PER_MILLISECOND);
            node.onAttemptObserved(
                    i * NANOS_PER_SECOND + 300 * NANOS_PER_MILLISECOND,
                    1,
                    SILENT,
                    i * NANOS_PER_SECOND);
        }
        assertEquals(0, node.reportCounts().written(), "no report was written");
        node.onAttemptObserved(9 * NANOS_PER_SECOND, 1, SILENT, 8 * NANOS_PER_SECOND);
        assertEquals(1, node.reportCounts().written());
    }

    @Test
    void aReporterContradictedByPeersIsNotCounted() {
        HealthReportAggregator node = newAggregator(8, 9, (now, rank) -> true);
        for (long cache = 1; cache <= 6; cache++) {
            sendDirect(node, NANOS_PER_SECOND, cache, unhealthy(1, 1, SILENT), 0);
            sendDirect(node, NANOS_PER_SECOND, cache, healthy(2, 1), 0);
            sendDirect(node, NANOS_PER_SECOND, cache, healthy(3, 1), 0);
        }
        sendDirect(node, NANOS_PER_SECOND, 9, unhealthy(1, 1, SILENT), 0);
        sendDirect(node, NANOS_PER_SECOND, 9, unhealthy(4, 1, SILENT), 0);
        sendDirect(node, NANOS_PER_SECOND, 9, unhealthy(5, 1, SILENT), 0);
        assertEquals(
                Set.of(),
                outliers,
                "two reporters count: the third reports six healthy caches as unhealthy");
        sendDirect(node, NANOS_PER_SECOND, 9, unhealthy(6, 1, SILENT), 0);
        assertEquals(Set.of(9L), outliers);
    }

    /**
     * Checks that at most a third of the listed caches is ejected for any input, and that malformed
     * sections have no effect on others.
     */
    @Property(tries = 200)
    void atMostAThirdOfTheCachesIsEjectedForAnyInput(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 12) int count) {
        outliers = Set.of();
        Random random = new Random(seed);
        HealthReportAggregator node = newAggregator(count, 6, (now, rank) -> random.nextInt(4) > 0);
        long now = 0;
        for (int i = 0; i < 300; i++) {
            now += random.nextInt(300) * NANOS_PER_MILLISECOND;
            switch (random.nextInt(5)) {
                case 0 ->
                        node.onAttemptObserved(
                                now,
                                1 + random.nextInt(8),
                                AttemptObservation.values()[
                                        random.nextInt(AttemptObservation.values().length)],
                                now);
                case 1 -> {
                    byte[] noise = new byte[random.nextInt(120)];
                    random.nextBytes(noise);
                    node.onSection(
                            now, 0, random.nextInt(14), INCARNATION, 32, ByteBuffer.wrap(noise));
                }
                case 2 -> node.onTimer(Math.max(now, node.nextWakeupNanos()));
                default ->
                        sendDirect(
                                node,
                                now,
                                1 + random.nextInt(8),
                                random.nextInt(4) > 0
                                        ? unhealthy(random.nextInt(14), i, SILENT)
                                        : healthy(random.nextInt(14), i),
                                random.nextInt(256));
            }
            assertTrue(
                    outliers.size() <= 2 && Set.of(1L, 2L, 3L, 4L, 5L, 6L).containsAll(outliers),
                    outliers.toString());
        }
    }
}
