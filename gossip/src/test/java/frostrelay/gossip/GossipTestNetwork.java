package frostrelay.gossip;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/** A simulated network of members, in simulated time. */
final class GossipTestNetwork {
    static final long NANOS_PER_SECOND = 1_000_000_000L;
    static final long ONE_WAY_DELAY_NANOS = 5_000_000L;
    static final int PAYLOAD_TYPE = 200;
    private static final long WALL_CLOCK_START_MILLIS = 1_790_000_000_000L;

    /** The age of a payload at its receipt, and the queueing delay that was reported with it. */
    record PayloadDelay(long ageNanos, long queueingNanos) {}

    private record Event(long atNanos, long sequence, Runnable action) {}

    /** One member, with the events that its listener received. */
    final class Node implements GossipNode.Actions, GossipNode.Listener {
        final int rank;
        GossipNode gossip;
        boolean isPaused;
        boolean isDead;
        final List<String> stateEvents = new ArrayList<>();

        final List<PayloadDelay> payloadDelays = new ArrayList<>();

        int startCount;

        Node(int rank) {
            this.rank = rank;
        }

        void start(long wallClockMillis, int listRevision) {
            isDead = false;
            int startNumber = ++startCount;
            gossip =
                    new GossipNode(
                            GossipSettings.STANDARD,
                            rank,
                            nodes.length,
                            nowNanos,
                            Incarnation.fromUnixMillis(wallClockMillis),
                            rank + 7L * startCount,
                            appliedVersions(listRevision),
                            0,
                            this,
                            this);
            scheduleWake(startNumber);
        }

        private void scheduleWake(int startNumber) {
            schedule(
                    Math.max(nowNanos, gossip.nextTimerAtNanos()),
                    () -> {
                        if (startNumber != startCount || isDead) {
                            return;
                        }
                        if (!isPaused && nowNanos >= gossip.nextTimerAtNanos()) {
                            gossip.onTimer(nowNanos);
                        }
                        // A paused process misses its timers, which are overdue when it resumes.
                        schedule(
                                nowNanos + 1_000_000,
                                () -> {
                                    if (startNumber == startCount && !isDead) {
                                        scheduleWake(startNumber);
                                    }
                                });
                    });
        }

        @Override
        public void send(int to, byte[] data, int length) {
            sentBytes += length;
            maxDatagramBytes = Math.max(maxDatagramBytes, length);
            byte[] datagram = Arrays.copyOf(data, length);
            if (random.nextDouble() < lossProbability || !isLinkUp.test(rank, to)) {
                return;
            }
            schedule(nowNanos + ONE_WAY_DELAY_NANOS, () -> deliver(to, rank, datagram));
        }

        @Override
        public void onMemberState(
                long atNanos, int peer, long incarnation, MemberState state, int reporter) {
            stateEvents.add(peer + " " + state);
        }

        @Override
        public void onLocalIncarnation(long atNanos, long incarnation) {
            stateEvents.add("local " + incarnation);
        }

        @Override
        public void onPayload(
                long atNanos,
                long delayNanos,
                int from,
                long incarnation,
                int type,
                ByteBuffer content) {
            if (type == PAYLOAD_TYPE && content.remaining() == Long.BYTES) {
                payloadDelays.add(new PayloadDelay(atNanos - content.getLong(), delayNanos));
            }
        }

        @Override
        public void onClockSample(
                long atNanos, int peer, long incarnation, long sentAtNanos, long peerMillis) {
            clockSampleCount++;
        }

        MemberSnapshot snapshotOf(int peer) {
            return gossip.snapshot(nowNanos, peer);
        }
    }

    final Node[] nodes;
    final SplittableRandom random = new SplittableRandom(5);
    double lossProbability;
    BiPredicate<Integer, Integer> isLinkUp = (from, to) -> true;
    long nowNanos;
    long sentBytes;
    int maxDatagramBytes;
    int clockSampleCount;
    private long nextSequence;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));

    GossipTestNetwork(int clusterSize) {
        nodes = new Node[clusterSize];
        for (int i = 0; i < clusterSize; i++) {
            nodes[i] = new Node(i);
        }
        for (Node node : nodes) {
            node.start(WALL_CLOCK_START_MILLIS, 1);
        }
    }

    static AppliedVersions appliedVersions(long listRevision) {
        return new AppliedVersions(1, 2, 3, listRevision, listRevision * 31, 0, 0);
    }

    void deliver(int to, int from, byte[] data) {
        Node node = nodes[to];
        if (node.isDead) {
            return;
        }
        if (node.isPaused) {
            // The datagram stays queued in the socket.
            schedule(nowNanos + 10_000_000, () -> deliver(to, from, data));
            return;
        }
        node.gossip.onDatagram(nowNanos, from, data, data.length);
    }

    void schedule(long atNanos, Runnable action) {
        events.add(new Event(atNanos, nextSequence++, action));
    }

    void run(double seconds) {
        long endNanos = nowNanos + (long) (seconds * NANOS_PER_SECOND);
        while (!events.isEmpty() && events.peek().atNanos <= endNanos) {
            Event event = events.poll();
            nowNanos = Math.max(nowNanos, event.atNanos);
            event.action.run();
        }
        nowNanos = endNanos;
    }
}
