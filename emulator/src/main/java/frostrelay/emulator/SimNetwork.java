package frostrelay.emulator;

import frostrelay.gossip.GossipNode;

import org.apache.commons.rng.UniformRandomProvider;

import java.util.Arrays;
import java.util.function.BiPredicate;

/** A datagram network between balancers, with loss, delay, partitions and traffic counters. */
final class SimNetwork {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Timeline timeline;
    private final UniformRandomProvider random;
    private final double lossFraction;
    private final long minDelayNanos;
    private final long maxDelayNanos;
    private final Station[] stations;
    private final long[] currentSecond;
    private final long[] bytesInSecond;

    /** Tests whether datagrams from the first balancer cannot reach the second. */
    BiPredicate<Integer, Integer> isPartitioned = (from, to) -> false;

    long sentBytes;
    long sentDatagrams;

    /** Largest number of bytes that one balancer sent in any clock second. */
    long maxBytesInSecond;

    /**
     * Creates a network with one-way delays from {@code minDelayNanos} to {@code maxDelayNanos}.
     */
    SimNetwork(
            Timeline timeline,
            UniformRandomProvider random,
            int count,
            double lossFraction,
            long minDelayNanos,
            long maxDelayNanos) {
        this.timeline = timeline;
        this.random = random;
        this.lossFraction = lossFraction;
        this.minDelayNanos = minDelayNanos;
        this.maxDelayNanos = maxDelayNanos;
        stations = new Station[count];
        currentSecond = new long[count];
        bytesInSecond = new long[count];
    }

    /** A balancer's attachment to the network, which sends its gossip and runs its timers. */
    abstract class Station implements GossipNode.Actions, GossipNode.Listener {
        final int index;
        boolean isDead;
        private long wakeAtNanos = Long.MAX_VALUE;
        private long wakeTimer = Timeline.NO_TIMER;

        Station(int index) {
            this.index = index;
        }

        /** Attaches the station; to be called once {@link #peers} is available. */
        final void join(long now) {
            stations[index] = this;
            schedule(now);
        }

        abstract GossipNode peers();

        final void schedule(long now) {
            long next = Math.max(now, peers().nextTimerAtNanos());
            if (next < wakeAtNanos) {
                timeline.cancel(wakeTimer);
                wakeAtNanos = next;
                wakeTimer = timeline.schedule(next, this::wake);
            }
        }

        private void wake(long now) {
            wakeAtNanos = Long.MAX_VALUE;
            wakeTimer = Timeline.NO_TIMER;
            if (!isDead) {
                peers().onTimer(now);
                schedule(now);
            }
        }

        @Override
        public final void send(int destination, byte[] data, int length) {
            long now = timeline.now();
            sentBytes += length;
            sentDatagrams++;
            if (now / NANOS_PER_SECOND != currentSecond[index]) {
                currentSecond[index] = now / NANOS_PER_SECOND;
                bytesInSecond[index] = 0;
            }
            bytesInSecond[index] += length;
            maxBytesInSecond = Math.max(maxBytesInSecond, bytesInSecond[index]);
            if (isPartitioned.test(index, destination) || random.nextDouble() < lossFraction) {
                return;
            }
            byte[] copy = Arrays.copyOf(data, length);
            timeline.schedule(
                    now
                            + minDelayNanos
                            + random.nextLong(Math.max(1, maxDelayNanos - minDelayNanos)),
                    then -> {
                        Station receiver = stations[destination];
                        if (receiver != null && !receiver.isDead) {
                            receiver.peers().onDatagram(then, index, copy, length);
                            receiver.schedule(then);
                        }
                    });
        }
    }
}
