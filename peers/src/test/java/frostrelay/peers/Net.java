package frostrelay.peers;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/** Balancers that talk over a network of a test's making, in a time of its own. */
final class Net {
    static final long SECOND = 1_000_000_000L;
    static final long WAY = 5_000_000L;
    static final int LOADED = 200;
    private static final long WALL_MS = 1_790_000_000_000L;

    private record Event(long at, long order, Runnable action) {}

    /** One of them, with what it heard. */
    final class Node implements Peers.Actions, Peers.Listener {
        final int rank;
        Peers peers;
        boolean frozen;
        boolean dead;
        final List<String> states = new ArrayList<>();

        /**
         * Of cargo that says when it was loaded: for how long it was on its way, and for how long
         * it is said to have been held up.
         */
        final List<long[]> cargo = new ArrayList<>();

        int life;

        Node(int rank) {
            this.rank = rank;
        }

        void start(long wallMs, int list) {
            dead = false;
            int mine = ++life;
            peers =
                    new Peers(
                            PeerSettings.STANDARD,
                            rank,
                            nodes.length,
                            now,
                            Incarnation.of(wallMs),
                            rank + 7L * life,
                            stamp(list),
                            0,
                            this,
                            this);
            wake(mine);
        }

        private void wake(int mine) {
            at(
                    Math.max(now, peers.next()),
                    () -> {
                        if (mine != life || dead) {
                            return;
                        }
                        if (!frozen && now >= peers.next()) {
                            peers.onWake(now);
                        }
                        // A frozen process misses its timers and finds them due when it wakes.
                        at(
                                now + 1_000_000,
                                () -> {
                                    if (mine == life && !dead) {
                                        wake(mine);
                                    }
                                });
                    });
        }

        @Override
        public void send(int to, byte[] data, int length) {
            sentBytes += length;
            longest = Math.max(longest, length);
            byte[] copy = Arrays.copyOf(data, length);
            if (random.nextDouble() < loss || !open.test(rank, to)) {
                return;
            }
            at(now + WAY, () -> deliver(to, rank, copy));
        }

        @Override
        public void onState(long moment, int other, long incarnation, State state, int by) {
            states.add(other + " " + state);
        }

        @Override
        public void onOwn(long moment, long incarnation) {
            states.add("me " + incarnation);
        }

        @Override
        public void onCargo(
                long moment, long held, int from, long incarnation, int type, ByteBuffer content) {
            if (type == LOADED && content.remaining() == Long.BYTES) {
                cargo.add(new long[] {moment - content.getLong(), held});
            }
        }

        @Override
        public void onClock(long moment, int other, long incarnation, long sent, long theirMs) {
            clocks++;
        }

        Known of(int other) {
            return peers.known(now, other);
        }
    }

    final Node[] nodes;
    final SplittableRandom random = new SplittableRandom(5);
    double loss;
    BiPredicate<Integer, Integer> open = (from, to) -> true;
    long now;
    long sentBytes;
    int longest;
    int clocks;
    private long orders;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));

    Net(int count) {
        nodes = new Node[count];
        for (int i = 0; i < count; i++) {
            nodes[i] = new Node(i);
        }
        for (Node node : nodes) {
            node.start(WALL_MS, 1);
        }
    }

    static Stamp stamp(long list) {
        return new Stamp(1, 2, 3, list, list * 31, 0, 0);
    }

    void deliver(int to, int from, byte[] data) {
        Node node = nodes[to];
        if (node.dead) {
            return;
        }
        if (node.frozen) {
            // It waits in the socket.
            at(now + 10_000_000, () -> deliver(to, from, data));
            return;
        }
        node.peers.onDatagram(now, from, data, data.length);
    }

    void at(long moment, Runnable action) {
        events.add(new Event(moment, orders++, action));
    }

    void run(double seconds) {
        long end = now + (long) (seconds * SECOND);
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = Math.max(now, event.at);
            event.action.run();
        }
        now = end;
    }
}
