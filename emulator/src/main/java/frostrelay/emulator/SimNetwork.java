package frostrelay.emulator;

import frostrelay.peers.Peers;

import org.apache.commons.rng.UniformRandomProvider;

import java.util.Arrays;
import java.util.function.BiPredicate;

/**
 * What lies between balancers that talk: it loses datagrams, takes its time, can be cut, and counts
 * what is sent.
 */
final class SimNetwork {
    private static final long SECOND = 1_000_000_000L;

    private final Timeline timeline;
    private final UniformRandomProvider random;
    private final double loss;
    private final long least;
    private final long most;
    private final Station[] stations;
    private final long[] seconds;
    private final long[] sentInIt;

    /** Whether no way leads from one to the other now. */
    BiPredicate<Integer, Integer> apart = (from, to) -> false;

    long bytes;
    long datagrams;

    /** The most bytes that one sent in any second of the clock. */
    long busiest;

    /** {@code least}, {@code most}: a datagram's way, nanoseconds. */
    SimNetwork(
            Timeline timeline,
            UniformRandomProvider random,
            int count,
            double loss,
            long least,
            long most) {
        this.timeline = timeline;
        this.random = random;
        this.loss = loss;
        this.least = least;
        this.most = most;
        stations = new Station[count];
        seconds = new long[count];
        sentInIt = new long[count];
    }

    /** One balancer's place in it: its talk goes out here and is woken here. */
    abstract class Station implements Peers.Actions, Peers.Listener {
        final int place;
        boolean dead;
        private long wakeAt = Long.MAX_VALUE;
        private long mark = Timeline.NO_MARK;

        Station(int place) {
            this.place = place;
        }

        /** To be called once its talk can be. */
        final void join(long now) {
            stations[place] = this;
            schedule(now);
        }

        abstract Peers peers();

        final void schedule(long now) {
            long next = Math.max(now, peers().next());
            if (next < wakeAt) {
                timeline.cancel(mark);
                wakeAt = next;
                mark = timeline.at(next, this::wake);
            }
        }

        private void wake(long now) {
            wakeAt = Long.MAX_VALUE;
            mark = Timeline.NO_MARK;
            if (!dead) {
                peers().onWake(now);
                schedule(now);
            }
        }

        @Override
        public final void send(int to, byte[] data, int length) {
            long now = timeline.now();
            bytes += length;
            datagrams++;
            if (now / SECOND != seconds[place]) {
                seconds[place] = now / SECOND;
                sentInIt[place] = 0;
            }
            sentInIt[place] += length;
            busiest = Math.max(busiest, sentInIt[place]);
            if (apart.test(place, to) || random.nextDouble() < loss) {
                return;
            }
            byte[] copy = Arrays.copyOf(data, length);
            timeline.at(
                    now + least + random.nextLong(Math.max(1, most - least)),
                    then -> {
                        Station there = stations[to];
                        if (there != null && !there.dead) {
                            there.peers().onDatagram(then, place, copy, length);
                            there.schedule(then);
                        }
                    });
        }
    }
}
