package frostrelay.counters;

import frostrelay.gossip.Incarnation;
import frostrelay.gossip.PayloadBuffer;
import frostrelay.gossip.PayloadProvider;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;

/**
 * Counters over the cluster: this balancer's own, and each peer's as that peer sent them itself,
 * piggybacked on gossip datagrams. A missing peer is not counted as 0: each total comes with the
 * number of balancers it covers, its age and an upper bound.
 *
 * <p>While no section is received, the estimated rate moves to this balancer's own rate times the
 * number of living balancers, and returns as sections arrive again. Not thread-safe; moments are
 * nanoseconds of one monotonic clock. {@code docs/design/shared-state.md} has the alternatives
 * considered.
 */
public final class ClusterCounters implements PayloadProvider {
    /** Sends sections besides those piggybacked on gossip datagrams. */
    public interface Actions {
        /** Sends one section to one peer now, if the gossip bandwidth limit admits it. */
        void sendSection(int to, int type, ByteBuffer section);
    }

    private static final int COUNTERS_SECTION = 34;
    private static final double NANOS_PER_SECOND = 1e9;

    /** One balancer's counters as known here, and the rates derived from them. */
    private static final class WriterState {
        GrowOnlyCounters counters;

        /** Time at which its latest counters were written, on this balancer's clock. */
        long updatedAtNanos;

        /** Values at {@link #rateBaselineNanos}, against which the next rates are calculated. */
        long[] rateBaseline;

        long rateBaselineNanos;
        double[] ratesPerSecond = new double[GrowOnlyCounters.COUNTER_COUNT];
        double[] peakRatesPerSecond = new double[GrowOnlyCounters.COUNTER_COUNT];

        void reset(GrowOnlyCounters first, long now) {
            counters = first;
            updatedAtNanos = now;
            rateBaseline = first.values();
            rateBaselineNanos = now;
            ratesPerSecond = null;
            peakRatesPerSecond = new double[GrowOnlyCounters.COUNTER_COUNT];
        }

        void updateRates(long now, long windowNanos) {
            if (now - rateBaselineNanos < windowNanos) {
                return;
            }
            ratesPerSecond = new double[GrowOnlyCounters.COUNTER_COUNT];
            for (int i = 0; i < GrowOnlyCounters.COUNTER_COUNT; i++) {
                ratesPerSecond[i] =
                        (counters.values()[i] - rateBaseline[i])
                                * NANOS_PER_SECOND
                                / (now - rateBaselineNanos);
                peakRatesPerSecond[i] = Math.max(peakRatesPerSecond[i], ratesPerSecond[i]);
            }
            rateBaseline = counters.values();
            rateBaselineNanos = now;
        }
    }

    private final ClusterCounterSettings settings;
    private final int localRank;
    private final int clusterSize;
    private final IntPredicate isAlive;
    private final Actions actions;
    private final long[] localValues = new long[GrowOnlyCounters.COUNTER_COUNT];
    private final WriterState localState = new WriterState();
    private final Map<Integer, WriterState> peerStates = new TreeMap<>();
    private final Map<Integer, Long> lastSentNanos = new TreeMap<>();

    /** Rank that the round robin of direct sends has considered last. */
    private int lastRecipient;

    private long rejectedCount;

    /**
     * Creates counters at 0.
     *
     * @param localRank this balancer's number, from 0 to {@code clusterSize} - 1
     * @param incarnation this balancer's incarnation
     * @param isAlive whether the peer of a rank is alive as far as is known
     */
    public ClusterCounters(
            ClusterCounterSettings settings,
            int localRank,
            int clusterSize,
            long now,
            long incarnation,
            IntPredicate isAlive,
            Actions actions) {
        this.settings = settings;
        this.localRank = localRank;
        this.clusterSize = clusterSize;
        this.isAlive = isAlive;
        this.actions = actions;
        localState.reset(
                new GrowOnlyCounters(startedAtUnixMillis(incarnation), localValues.clone()), now);
    }

    private static long startedAtUnixMillis(long incarnation) {
        return Incarnation.toUnixMillis(incarnation);
    }

    /** Adds one to a counter of this balancer. */
    public void increment(ClusterCounter counter) {
        localValues[counter.ordinal()]++;
    }

    /**
     * Merges a received gossip section. Sections of other modules are ignored; expired, truncated
     * or implausible ones are rejected.
     *
     * @param delayNanos time for which the datagram was delayed on its way
     * @param sender rank of the sending peer
     * @param type section type
     */
    public void onSection(
            long now, long delayNanos, int sender, long incarnation, int type, ByteBuffer in) {
        if (type != COUNTERS_SECTION || sender == localRank || sender >= clusterSize) {
            return;
        }
        long writtenAtNanos = now - delayNanos;
        if (delayNanos >= settings.expiryNanos() || !GrowOnlyCounters.isComplete(in)) {
            rejectedCount++;
            return;
        }
        GrowOnlyCounters received = GrowOnlyCounters.read(startedAtUnixMillis(incarnation), in);
        WriterState peer = peerStates.computeIfAbsent(sender, rank -> new WriterState());
        if (peer.counters == null
                || received.startedAtUnixMillis() > peer.counters.startedAtUnixMillis()) {
            peer.reset(received, writtenAtNanos);
        } else if (received.startedAtUnixMillis() == peer.counters.startedAtUnixMillis()) {
            // One second is added to the elapsed time for counts that were delayed on their way.
            double maxIncrease =
                    settings.maxRatePerSecond()
                            * ((now - peer.updatedAtNanos) / NANOS_PER_SECOND + 1);
            for (ClusterCounter counter : ClusterCounter.values()) {
                if (received.valueOf(counter) - peer.counters.valueOf(counter) > maxIncrease) {
                    rejectedCount++;
                    return;
                }
            }
            peer.counters = GrowOnlyCounters.merge(peer.counters, received);
            peer.updatedAtNanos = Math.max(peer.updatedAtNanos, writtenAtNanos);
            peer.updateRates(peer.updatedAtNanos, settings.rateWindowNanos());
        }
    }

    @Override
    public void writeSections(long now, int to, PayloadBuffer buffer) {
        Long lastSent = lastSentNanos.get(to);
        if (lastSent != null && now - lastSent < settings.minSendIntervalNanos()
                || buffer.availableBytes() < GrowOnlyCounters.encodedBytes()) {
            return;
        }
        if (buffer.add(COUNTERS_SECTION, encodeLocal())) {
            lastSentNanos.put(to, now);
        }
    }

    private ByteBuffer encodeLocal() {
        ByteBuffer out = ByteBuffer.allocate(GrowOnlyCounters.encodedBytes());
        new GrowOnlyCounters(0, localValues).write(out);
        return out.flip();
    }

    /**
     * Sends directly, in round-robin order, to living peers that have not been sent a section for a
     * while, because a peer may get no piggybacked section for seconds.
     */
    private void sendToOverduePeers(long now) {
        int remainingSends =
                clusterSize - 1 <= settings.smallClusterPeers()
                        ? settings.smallClusterSendsPerSecond()
                        : settings.sendsPerSecond();
        for (int i = 0; i < clusterSize && remainingSends > 0; i++) {
            lastRecipient = (lastRecipient + 1) % clusterSize;
            Long lastSent = lastSentNanos.get(lastRecipient);
            if (lastRecipient != localRank
                    && isAlive.test(lastRecipient)
                    && (lastSent == null || now - lastSent >= settings.directSendAfterNanos())) {
                actions.sendSection(lastRecipient, COUNTERS_SECTION, encodeLocal());
                lastSentNanos.put(lastRecipient, now);
                remainingSends--;
            }
        }
    }

    /**
     * Updates this balancer's rates and sends to some peers directly. To be called once a second.
     */
    public void tick(long now) {
        localState.counters =
                new GrowOnlyCounters(
                        localState.counters.startedAtUnixMillis(), localValues.clone());
        localState.updatedAtNanos = now;
        localState.updateRates(now, settings.rateWindowNanos());
        sendToOverduePeers(now);
    }

    /** Estimates the cluster total of a counter from the sections received so far. */
    public CounterTotal total(long now, ClusterCounter counter) {
        int index = counter.ordinal();
        long known = localValues[index];
        double upperBound = known;
        double weights = 1;
        double rates = rate(localState, index);
        int covered = 1;
        int aliveMembers = 1;
        long oldestAgeNanos = 0;
        for (int i = 0; i < clusterSize; i++) {
            if (i == localRank || !isAlive.test(i)) {
                continue;
            }
            aliveMembers++;
            WriterState peer = peerStates.get(i);
            if (peer == null) {
                // Nothing was ever received from it: its count is unknown, not 0.
                upperBound = Double.POSITIVE_INFINITY;
                continue;
            }
            long ageNanos = now - peer.updatedAtNanos;
            long value = peer.counters.values()[index];
            upperBound +=
                    value
                            + ageNanos
                                    / NANOS_PER_SECOND
                                    * settings.maxRateGrowth()
                                    * Math.max(
                                            settings.minPeakRatePerSecond(),
                                            peer.peakRatesPerSecond[index]);
            if (ageNanos >= settings.expiryNanos()) {
                continue;
            }
            covered++;
            oldestAgeNanos = Math.max(oldestAgeNanos, ageNanos);
            known += value;
            if (peer.ratesPerSecond != null) {
                double weight = weight(ageNanos);
                weights += weight;
                rates += weight * peer.ratesPerSecond[index];
            }
        }
        return new CounterTotal(
                known,
                upperBound,
                rates / weights * aliveMembers,
                covered,
                aliveMembers,
                oldestAgeNanos);
    }

    private static double rate(WriterState writer, int index) {
        return writer.ratesPerSecond == null ? 0 : writer.ratesPerSecond[index];
    }

    /** Returns 1 while the rate is fresh, then a weight that falls linearly to 0 at expiry. */
    private double weight(long ageNanos) {
        return Math.max(
                0,
                Math.min(
                        1,
                        (double) (settings.expiryNanos() - ageNanos)
                                / (settings.expiryNanos() - settings.freshNanos())));
    }

    /**
     * A peer's latest counters, for operators.
     *
     * @param startedAtUnixMillis start of its incarnation
     * @param ageNanos time since the counters were written
     * @param values by ordinal of {@link ClusterCounter}
     */
    public record PeerCounters(int rank, long startedAtUnixMillis, long ageNanos, long[] values) {}

    /** Returns the latest counters of each peer that has sent a section, ordered by rank. */
    public List<PeerCounters> peerCounters(long now) {
        List<PeerCounters> rows = new ArrayList<>();
        peerStates.forEach(
                (rank, peer) ->
                        rows.add(
                                new PeerCounters(
                                        rank,
                                        peer.counters.startedAtUnixMillis(),
                                        now - peer.updatedAtNanos,
                                        peer.counters.values().clone())));
        return rows;
    }

    /** Returns the number of sections rejected as expired, truncated or implausible. */
    public long rejectedCount() {
        return rejectedCount;
    }
}
