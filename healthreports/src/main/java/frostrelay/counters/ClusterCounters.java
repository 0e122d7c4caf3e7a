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
 * Counts over the fleet: what this balancer did, and what each other said that it had done,
 * first-hand. They ride on datagrams that go out anyway. What was not heard is not taken as
 * nothing: each sum says how many it covers, how old it is, and what it can be at most.
 *
 * <p>Under silence a sum slides to this balancer's own count times the balancers that are there,
 * which is what a balancer alone goes by; it comes back as the others are heard, one by one.
 * Decides nothing; for one thread; moments are nanoseconds of one clock that never falls. {@code
 * docs/design/shared-state.md} has the ways weighed.
 */
public final class ClusterCounters implements PayloadProvider {
    /** Where what others are to hear goes besides riding along. */
    public interface Actions {
        /** Sends one section to one balancer now, if the bounds on talk let it through. */
        void sendSection(int to, int type, ByteBuffer section);
    }

    private static final int COUNTERS_SECTION = 34;
    private static final double NANOS_PER_SECOND = 1e9;

    /** One balancer's, as known here. */
    private static final class WriterState {
        GrowOnlyCounters counters;

        /** When its last word was written. */
        long updatedAtNanos;

        /** Where its rates are taken from, and what they were. */
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

    /** Whose turn it was last. */
    private int lastRecipient;

    private long rejectedCount;

    /**
     * {@code localRank}: this balancer's number among {@code clusterSize}; {@code isAlive}: whether
     * another is there as far as is known.
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

    /** This balancer did one more. */
    public void increment(ClusterCounter counter) {
        localValues[counter.ordinal()]++;
    }

    /**
     * A section came from a peer in that life of it, held up for so long on its way; one of another
     * module is passed over, and so is what nobody can have done.
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
            // A second more than the time since: what was under way when it was last heard came
            // late.
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
    public void writeSections(long now, int to, PayloadBuffer hold) {
        Long lastSent = lastSentNanos.get(to);
        if (lastSent != null && now - lastSent < settings.minSendIntervalNanos()
                || hold.availableBytes() < GrowOnlyCounters.encodedBytes()) {
            return;
        }
        if (hold.add(COUNTERS_SECTION, encodeLocal())) {
            lastSentNanos.put(to, now);
        }
    }

    private ByteBuffer encodeLocal() {
        ByteBuffer out = ByteBuffer.allocate(GrowOnlyCounters.encodedBytes());
        new GrowOnlyCounters(0, localValues).write(out);
        return out.flip();
    }

    /** Those that were told longest ago hear it now: what rides along misses some for seconds. */
    private void sendToStalest(long now) {
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

    /** To be called once a second: own rates are taken then, and some are told straight. */
    public void tick(long now) {
        localState.counters =
                new GrowOnlyCounters(
                        localState.counters.startedAtUnixMillis(), localValues.clone());
        localState.updatedAtNanos = now;
        localState.updateRates(now, settings.rateWindowNanos());
        sendToStalest(now);
    }

    /** What is known of a count over the tier now. */
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
                // What one has done of which nothing was ever heard is not nothing: it is not
                // known.
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

    /** Without a step: in full while it is fresh, then less with age. */
    private double weight(long ageNanos) {
        return Math.max(
                0,
                Math.min(
                        1,
                        (double) (settings.expiryNanos() - ageNanos)
                                / (settings.expiryNanos() - settings.freshNanos())));
    }

    /**
     * What each other said last, for operators: its number, life, age in nanoseconds, and its
     * counts in their order.
     */
    public record PeerCounters(int rank, long startedAtUnixMillis, long ageNanos, long[] values) {}

    /** All of them, by their numbers. */
    public List<PeerCounters> peerCounters(long now) {
        List<PeerCounters> rows = new ArrayList<>();
        peerStates.forEach(
                (number, peer) ->
                        rows.add(
                                new PeerCounters(
                                        number,
                                        peer.counters.startedAtUnixMillis(),
                                        now - peer.updatedAtNanos,
                                        peer.counters.values().clone())));
        return rows;
    }

    /** Words that were passed over as impossible. */
    public long rejectedCount() {
        return rejectedCount;
    }
}
