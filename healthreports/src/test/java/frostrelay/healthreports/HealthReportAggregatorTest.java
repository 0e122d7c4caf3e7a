package frostrelay.healthreports;

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

/** Outliers by peers' reports, with faulty reporters and in any order of arrival. */
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
        // Likewise.
    }

    @Override
    public boolean sendSection(int to, int type, ByteBuffer section) {
        recipients.add(to);
        return !bandwidthExhausted;
    }

    @Override
    public void onReportsPending() {
        // Sections are collected by the tests themselves.
    }

    private HealthReportAggregator newAggregator(
            int clusterSize, int caches, HealthReportAggregator.Trust trust) {
        HealthReportAggregator one =
                new HealthReportAggregator(
                        HealthReportSettings.STANDARD, 0, clusterSize, INCARNATION, trust, this);
        Map<Long, Long> listed = new HashMap<>();
        for (long i = 1; i <= caches; i++) {
            listed.put(i, (long) SERVER_START);
        }
        one.onEndpointList(0, listed);
        return one;
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
    Arbitrary<HealthReport> evidence() {
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
            @ForAll("evidence") HealthReport a,
            @ForAll("evidence") HealthReport b,
            @ForAll("evidence") HealthReport c) {
        assertEquals(HealthReport.newerOf(a, b), HealthReport.newerOf(b, a));
        assertEquals(
                HealthReport.newerOf(HealthReport.newerOf(a, b), c),
                HealthReport.newerOf(a, HealthReport.newerOf(b, c)));
        assertEquals(a, HealthReport.newerOf(a, a));
        assertEquals(a, HealthReport.newerOf(a, null));
    }

    /** Order, doubles and who brings it change nothing; nor is anybody's evidence counted twice. */
    @Property(tries = 200)
    void whateverOrderItComesInTheSameIsKnown(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int messages) {
        Random random = new Random(seed);
        List<HealthReport> all = new ArrayList<>();
        for (int i = 0; i < messages; i++) {
            int rank = 1 + random.nextInt(5);
            all.add(
                    random.nextBoolean()
                            ? unhealthy(rank, random.nextInt(6), AttemptObservation.SILENT)
                            : healthy(rank, random.nextInt(6)));
        }
        List<HealthReport> other = new ArrayList<>(all);
        other.addAll(all.subList(0, random.nextInt(messages)));
        Collections.shuffle(other, random);
        // One instance serves all tries.
        outliers = Set.of();
        HealthReportAggregator one = newAggregator(8, 6, (now, rank) -> true);
        all.forEach(evidence -> sendDirect(one, NANOS_PER_SECOND, 1, evidence, 0));
        Set<Long> first = outliers;
        outliers = Set.of();
        HealthReportAggregator two = newAggregator(8, 6, (now, rank) -> true);
        other.forEach(evidence -> sendDirect(two, NANOS_PER_SECOND, 1, evidence, 0));
        assertEquals(
                one.reportAges(NANOS_PER_SECOND, 1).keySet(),
                two.reportAges(NANOS_PER_SECOND, 1).keySet());
        assertEquals(first, outliers);
        assertTrue(one.reportAges(NANOS_PER_SECOND, 1).size() <= 5);
    }

    @Test
    void theThirdReporterEjectsACacheUntilALocalFreshSuccessExpiryOrARestart() {
        HealthReportAggregator one = newAggregator(6, 6, (now, rank) -> true);
        sendDirect(one, NANOS_PER_SECOND, 2, unhealthy(1, 1, AttemptObservation.SILENT), 0);
        sendDirect(one, NANOS_PER_SECOND, 2, unhealthy(1, 2, AttemptObservation.SILENT), 0);
        sendDirect(one, NANOS_PER_SECOND, 2, unhealthy(2, 1, AttemptObservation.RESET), 0);
        assertEquals(Set.of(), outliers, "two, one of them twice");
        sendDirect(one, NANOS_PER_SECOND, 2, unhealthy(3, 1, AttemptObservation.UNREACHABLE), 20);
        assertEquals(Set.of(2L), outliers);
        one.onAttemptObserved(
                2 * NANOS_PER_SECOND, 2, AttemptObservation.ANSWERED, 2 * NANOS_PER_SECOND);
        assertEquals(Set.of(), outliers, "it has just answered here");
        one.onTimer(3 * NANOS_PER_SECOND + NANOS_PER_MILLISECOND);
        assertEquals(Set.of(), outliers, "what they said before that is overtaken");
        sendDirect(one, 4 * NANOS_PER_SECOND, 2, unhealthy(1, 3, AttemptObservation.SILENT), 0);
        sendDirect(one, 4 * NANOS_PER_SECOND, 2, unhealthy(2, 2, AttemptObservation.SILENT), 0);
        sendDirect(one, 4 * NANOS_PER_SECOND, 2, unhealthy(3, 2, AttemptObservation.SILENT), 5);
        assertEquals(Set.of(2L), outliers, "and they see it bad again");
        one.onTimer(13 * NANOS_PER_SECOND + 600 * NANOS_PER_MILLISECOND);
        assertEquals(Set.of(), outliers, "the third was half a second old when it came");
        sendDirect(one, 14 * NANOS_PER_SECOND, 3, unhealthy(1, 1, AttemptObservation.SILENT), 0);
        sendDirect(one, 14 * NANOS_PER_SECOND, 3, unhealthy(2, 1, AttemptObservation.SILENT), 0);
        sendDirect(one, 14 * NANOS_PER_SECOND, 3, unhealthy(4, 1, AttemptObservation.SILENT), 0);
        assertEquals(Set.of(3L), outliers);
        one.onEndpointList(
                15 * NANOS_PER_SECOND, Map.of(1L, 7L, 2L, 7L, 3L, 8L, 4L, 7L, 5L, 7L, 6L, 7L));
        assertEquals(Set.of(), outliers, "it has started anew");
    }

    @Test
    void aLiarAStaleInstanceAPartitionedAndAnIsolatedPeerEjectNothing() {
        HealthReportAggregator one = newAggregator(8, 9, (now, rank) -> rank != 5);
        for (long cache = 1; cache <= 9; cache++) {
            sendDirect(one, NANOS_PER_SECOND, cache, unhealthy(1, 1, AttemptObservation.SILENT), 0);
            sendDirect(one, NANOS_PER_SECOND, cache, unhealthy(5, 1, AttemptObservation.SILENT), 0);
            sendDirect(
                    one,
                    NANOS_PER_SECOND,
                    cache,
                    new HealthReport(1, INCARNATION + (1L << 20), 1, SERVER_START, 0, 255, 63),
                    0);
        }
        assertEquals(Set.of(), outliers, "one liar in two lives, and one who is not trusted");
        for (long cache = 1; cache <= 9; cache++) {
            sendDirect(one, NANOS_PER_SECOND, cache, unhealthy(2, 1, AttemptObservation.SILENT), 0);
            sendDirect(one, NANOS_PER_SECOND, cache, unhealthy(3, 1, AttemptObservation.SILENT), 0);
        }
        assertEquals(3, outliers.size(), "three of them lie: a third of the caches, no more");
        one.onIsolation(2 * NANOS_PER_SECOND, true);
        assertEquals(Set.of(), outliers);
    }

    /**
     * One liar is one voice: in its own name, in others', and where honest ones pass on what it
     * said of itself.
     */
    @Property(tries = 300)
    void aLiarCountsAsOneReporterWhateverItRelaysAndWhoeverRelaysIt(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 2) int liars) {
        outliers = Set.of();
        Random random = new Random(seed);
        HealthReportAggregator one = newAggregator(40, 6, (now, rank) -> true);
        for (int i = 0; i < 60; i++) {
            long now = NANOS_PER_SECOND + i * NANOS_PER_MILLISECOND;
            int liar = 1 + random.nextInt(liars);
            switch (random.nextInt(3)) {
                case 0 -> sendDirect(one, now, 1, unhealthy(liar, i, AttemptObservation.SILENT), 0);
                case 1 ->
                        sendRelayed(
                                one,
                                now,
                                1,
                                liar,
                                unhealthy(random.nextInt(40), i, AttemptObservation.SILENT));
                default ->
                        sendRelayed(
                                one,
                                now,
                                1,
                                3 + random.nextInt(37),
                                unhealthy(liar, i, AttemptObservation.SILENT));
            }
            assertEquals(Set.of(), outliers, "two voices at most");
        }
        for (int rank = 10; rank < 13; rank++) {
            sendDirect(
                    one, 2 * NANOS_PER_SECOND, 1, unhealthy(rank, 1, AttemptObservation.SILENT), 0);
        }
        assertEquals(Set.of(1L), outliers);
    }

    @Test
    void reportsRelayedByThreePeersCountUntilAReporterContradictsDirectly() {
        HealthReportAggregator one = newAggregator(40, 6, (now, rank) -> true);
        sendRelayed(one, NANOS_PER_SECOND, 1, 5, unhealthy(15, 1, AttemptObservation.SILENT));
        sendRelayed(one, NANOS_PER_SECOND, 1, 5, unhealthy(16, 1, AttemptObservation.SILENT));
        sendRelayed(one, NANOS_PER_SECOND, 1, 6, unhealthy(16, 1, AttemptObservation.SILENT));
        sendRelayed(one, NANOS_PER_SECOND, 1, 6, unhealthy(17, 1, AttemptObservation.SILENT));
        assertEquals(Set.of(), outliers, "three say so, and two bring it");
        sendRelayed(one, NANOS_PER_SECOND, 1, 7, unhealthy(17, 1, AttemptObservation.SILENT));
        assertEquals(Set.of(1L), outliers);
        sendRelayed(one, NANOS_PER_SECOND, 1, 8, healthy(16, 9));
        assertEquals(Set.of(1L), outliers, "that it is well again its writer says itself");
        sendDirect(one, NANOS_PER_SECOND, 1, healthy(16, 2), 0);
        assertEquals(Set.of(), outliers);
    }

    /**
     * In a small cluster each peer is sent a report twice; what the bandwidth limit rejects counts
     * as not sent.
     */
    @Test
    void reportsHeldBackByTheBandwidthLimitAreSentLater() {
        HealthReportAggregator one = newAggregator(4, 6, (now, rank) -> true);
        bandwidthExhausted = true;
        one.onAttemptObserved(NANOS_PER_SECOND, 2, AttemptObservation.RESET, NANOS_PER_SECOND);
        one.onTimer(one.nextWakeupNanos());
        assertEquals(List.of(1, 2, 3), recipients);
        bandwidthExhausted = false;
        recipients.clear();
        for (int i = 0; i < 12; i++) {
            one.onTimer(one.nextWakeupNanos());
        }
        assertEquals(List.of(1, 2, 3, 1, 2, 3), recipients);
    }

    @Test
    void manyThatFailByTheirOwnWordHaveOneCauseBehindThem() {
        HealthReportAggregator one = newAggregator(6, 6, (now, rank) -> true);
        for (long cache = 1; cache <= 4; cache++) {
            for (int rank = 1; rank <= 3; rank++) {
                sendDirect(
                        one,
                        NANOS_PER_SECOND,
                        cache,
                        unhealthy(rank, 1, AttemptObservation.FAILED),
                        0);
            }
        }
        assertEquals(Set.of(), outliers);
        for (int rank = 1; rank <= 3; rank++) {
            sendDirect(
                    one,
                    NANOS_PER_SECOND,
                    5,
                    unhealthy(rank, 1, AttemptObservation.UNREACHABLE),
                    0);
        }
        assertEquals(Set.of(5L), outliers, "one that is not there is another matter");
    }

    /**
     * What needs the origin takes long: caches leave some reads unanswered and answer others
     * meanwhile.
     */
    @Test
    void readsThatAreSlowForTheirKeysTellNothingOfTheirCache() {
        HealthReportAggregator one = newAggregator(6, 6, (now, rank) -> true);
        for (int i = 1; i <= 6; i++) {
            one.onAttemptObserved(
                    i * NANOS_PER_SECOND + 200 * NANOS_PER_MILLISECOND,
                    1,
                    AttemptObservation.ANSWERED,
                    i * NANOS_PER_SECOND + 100 * NANOS_PER_MILLISECOND);
            one.onAttemptObserved(
                    i * NANOS_PER_SECOND + 300 * NANOS_PER_MILLISECOND,
                    1,
                    AttemptObservation.SILENT,
                    i * NANOS_PER_SECOND);
        }
        assertEquals(0, one.reportCounts().written(), "nothing was written");
        one.onAttemptObserved(
                9 * NANOS_PER_SECOND, 1, AttemptObservation.SILENT, 8 * NANOS_PER_SECOND);
        assertEquals(1, one.reportCounts().written());
    }

    @Test
    void aReporterContradictedByPeersLosesItsWeight() {
        HealthReportAggregator one = newAggregator(8, 9, (now, rank) -> true);
        for (long cache = 1; cache <= 6; cache++) {
            sendDirect(one, NANOS_PER_SECOND, cache, unhealthy(1, 1, AttemptObservation.SILENT), 0);
            sendDirect(one, NANOS_PER_SECOND, cache, healthy(2, 1), 0);
            sendDirect(one, NANOS_PER_SECOND, cache, healthy(3, 1), 0);
        }
        sendDirect(one, NANOS_PER_SECOND, 9, unhealthy(1, 1, AttemptObservation.SILENT), 0);
        sendDirect(one, NANOS_PER_SECOND, 9, unhealthy(4, 1, AttemptObservation.SILENT), 0);
        sendDirect(one, NANOS_PER_SECOND, 9, unhealthy(5, 1, AttemptObservation.SILENT), 0);
        assertEquals(Set.of(), outliers, "two count: the third calls six healthy ones bad");
        sendDirect(one, NANOS_PER_SECOND, 9, unhealthy(6, 1, AttemptObservation.SILENT), 0);
        assertEquals(Set.of(9L), outliers);
    }

    /**
     * Whatever comes, a third of the listed caches at most is lowered, and damaged sections cost
     * nothing but themselves.
     */
    @Property(tries = 200)
    void theBoundHoldsWhateverComes(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 12) int count) {
        outliers = Set.of();
        Random random = new Random(seed);
        HealthReportAggregator one = newAggregator(count, 6, (now, rank) -> random.nextInt(4) > 0);
        long now = 0;
        for (int i = 0; i < 300; i++) {
            now += random.nextInt(300) * NANOS_PER_MILLISECOND;
            switch (random.nextInt(5)) {
                case 0 ->
                        one.onAttemptObserved(
                                now,
                                1 + random.nextInt(8),
                                AttemptObservation.values()[
                                        random.nextInt(AttemptObservation.values().length)],
                                now);
                case 1 -> {
                    byte[] noise = new byte[random.nextInt(120)];
                    random.nextBytes(noise);
                    one.onSection(
                            now, 0, random.nextInt(14), INCARNATION, 32, ByteBuffer.wrap(noise));
                }
                case 2 -> one.onTimer(Math.max(now, one.nextWakeupNanos()));
                default ->
                        sendDirect(
                                one,
                                now,
                                1 + random.nextInt(8),
                                random.nextInt(4) > 0
                                        ? unhealthy(
                                                random.nextInt(14), i, AttemptObservation.SILENT)
                                        : healthy(random.nextInt(14), i),
                                random.nextInt(256));
            }
            assertTrue(
                    outliers.size() <= 2 && Set.of(1L, 2L, 3L, 4L, 5L, 6L).containsAll(outliers),
                    outliers.toString());
        }
    }
}
