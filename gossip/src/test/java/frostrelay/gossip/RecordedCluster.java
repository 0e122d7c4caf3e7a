package frostrelay.gossip;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A cluster in simulated time that records every datagram. Its scenario is fixed and produces every
 * kind of datagram and every type of section: members start, change their applied versions,
 * announce unavailable caches, stop answering, leave and restart.
 */
final class RecordedCluster {
    private static final int SIZE = 5;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long ONE_WAY_DELAY_NANOS = 5_000_000L;
    private static final long TIMER_DELAY_NANOS = 1_000_000L;
    private static final long WALL_CLOCK_START_MILLIS = 1_790_000_000_000L;
    private static final int PAYLOAD_TYPE = 200;

    /** A sent datagram, with the revision of the list that its receiver applied at that time. */
    record Sent(long atNanos, int from, int to, int receiverRevision, byte[] data) {
        /** Returns one line of text: time, sender, receiver, the receiver's revision, bytes. */
        String toLine() {
            return atNanos
                    + " "
                    + from
                    + " "
                    + to
                    + " "
                    + receiverRevision
                    + " "
                    + HexFormat.of().formatHex(data);
        }
    }

    private record Event(long atNanos, long sequence, Runnable action) {}

    final List<Sent> sent = new ArrayList<>();
    private final GossipNode[] nodes = new GossipNode[SIZE];
    private final int[] revisions = new int[SIZE];
    private final boolean[] isDown = new boolean[SIZE];
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long nextSequence;

    static AppliedVersions appliedVersions(int listRevision) {
        return new AppliedVersions(11, 12, 13, listRevision, 15, 16, 17);
    }

    /** Runs the whole scenario. */
    void run() {
        for (int rank = 0; rank < SIZE; rank++) {
            start(rank, 1);
        }
        run(4);
        apply(1, 2, 1);
        run(2);
        nodes[1].announceCacheState(nowNanos, 2, 0x1122_3344_5566_7788L, false);
        run(2);
        nodes[1].announceCacheState(nowNanos, 3, 0x1122_3344_5566_7788L, true);
        nodes[2].setPayloadProvider(
                (now, to, buffer) ->
                        buffer.add(
                                PAYLOAD_TYPE,
                                ByteBuffer.allocate(Long.BYTES).putLong(now + to).flip()));
        nodes[2].announcePayloadChange(nowNanos);
        nodes[0].send(nowNanos, 1, PAYLOAD_TYPE, ByteBuffer.wrap(new byte[] {1, 2, 3}));
        run(3);
        isDown[3] = true;
        run(20);
        nodes[4].leave(nowNanos);
        isDown[4] = true;
        apply(0, 5, 1);
        run(3);
        isDown[3] = false;
        start(3, 6);
        apply(2, 7, 1);
        run(6);
    }

    private void start(int rank, int revision) {
        revisions[rank] = revision;
        nodes[rank] =
                new GossipNode(
                        GossipSettings.STANDARD,
                        rank,
                        SIZE,
                        nowNanos,
                        Incarnation.fromUnixMillis(
                                WALL_CLOCK_START_MILLIS + nowNanos / 1_000_000 + rank),
                        rank + 7,
                        appliedVersions(revision),
                        0,
                        (to, data, length) -> send(rank, to, Arrays.copyOf(data, length)),
                        new GossipNode.Listener() {});
        scheduleTimer(nodes[rank], rank);
    }

    private void apply(int rank, int revision, int sequence) {
        revisions[rank] = revision;
        nodes[rank].updateAppliedVersions(nowNanos, appliedVersions(revision), sequence);
    }

    private void scheduleTimer(GossipNode node, int rank) {
        schedule(
                Math.max(nowNanos, node.nextTimerAtNanos()),
                () -> {
                    if (nodes[rank] == node && !isDown[rank]) {
                        node.onTimer(nowNanos);
                        schedule(nowNanos + TIMER_DELAY_NANOS, () -> scheduleTimer(node, rank));
                    }
                });
    }

    private void send(int from, int to, byte[] data) {
        sent.add(new Sent(nowNanos, from, to, revisions[to], data));
        // A tenth is lost, so that members have to request missing versions.
        if (sent.size() % 10 != 3) {
            schedule(
                    nowNanos + ONE_WAY_DELAY_NANOS,
                    () -> {
                        if (!isDown[to]) {
                            nodes[to].onDatagram(nowNanos, from, data, data.length);
                        }
                    });
        }
    }

    private void schedule(long atNanos, Runnable action) {
        events.add(new Event(atNanos, nextSequence++, action));
    }

    private void run(int seconds) {
        long endNanos = nowNanos + seconds * NANOS_PER_SECOND;
        while (!events.isEmpty() && events.peek().atNanos <= endNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos;
            event.action.run();
        }
        nowNanos = endNanos;
    }

    /**
     * Decodes a datagram as its receiver does immediately after its start.
     *
     * @return all decoded fields: those of the header, then the events caused by the sections
     */
    static String decode(Sent sent) {
        GossipDatagram header = GossipDatagram.read(sent.data, sent.data.length);
        DecodedEvents decoded = new DecodedEvents();
        decoded.add("kind", header.kind.ordinal());
        decoded.add("sender", header.sender);
        decoded.add("incarnation", header.incarnation);
        decoded.add("nonce", header.nonce);
        decoded.add("subject", header.subject);
        GossipNode reader =
                new GossipNode(
                        GossipSettings.STANDARD,
                        sent.to,
                        SIZE,
                        sent.atNanos,
                        Incarnation.fromUnixMillis(WALL_CLOCK_START_MILLIS + sent.to),
                        1,
                        appliedVersions(sent.receiverRevision),
                        0,
                        decoded,
                        decoded);
        decoded.isRecording = true;
        long receivedAtNanos = sent.atNanos + ONE_WAY_DELAY_NANOS;
        reader.onDatagram(receivedAtNanos, sent.from, sent.data, sent.data.length);
        return decoded.text.toString();
    }

    /** A recorder of the actions and events that a datagram causes. */
    private static final class DecodedEvents implements GossipNode.Actions, GossipNode.Listener {
        private final StringBuilder text = new StringBuilder();
        private boolean isRecording;

        private void add(String name, Object... fields) {
            text.append(text.length() == 0 ? "" : " ").append(name);
            for (Object field : fields) {
                text.append(':').append(field);
            }
        }

        @Override
        public void send(int destination, byte[] data, int length) {
            add("reply", destination, HexFormat.of().formatHex(data, 0, length));
        }

        @Override
        public void onMemberState(
                long now, int rank, long incarnation, MemberState state, int reportedBy) {
            add("state", rank, incarnation, state.ordinal(), reportedBy);
        }

        @Override
        public void onLocalIncarnation(long now, long incarnation) {
            add("own", incarnation);
        }

        @Override
        public void onMemberEntry(
                long now,
                int rank,
                long incarnation,
                int sequence,
                int fingerprint,
                long ageNanos) {
            add("entry", rank, incarnation, sequence, fingerprint, ageNanos);
        }

        @Override
        public void onAppliedVersions(long now, int fingerprint, AppliedVersions content) {
            if (isRecording) {
                ByteBuffer bytes = ByteBuffer.allocate(AppliedVersions.BYTES);
                content.write(bytes);
                add("versions", fingerprint, HexFormat.of().formatHex(bytes.array()));
            }
        }

        @Override
        public void onCacheUnavailable(long now, int from, long listRevision, long cache) {
            add("unavailable", from, listRevision, cache);
        }

        @Override
        public void onCacheRestored(long now, int from, long listRevision, long cache) {
            add("restored", from, listRevision, cache);
        }

        @Override
        public void onPayload(
                long now,
                long queueingDelayNanos,
                int from,
                long incarnation,
                int type,
                ByteBuffer content) {
            byte[] bytes = new byte[content.remaining()];
            content.get(bytes);
            add("payload", queueingDelayNanos, from, incarnation, type);
            add("content", HexFormat.of().formatHex(bytes));
        }

        @Override
        public void onClockSample(
                long now, int rank, long incarnation, long sentAtNanos, long peerUptimeMillis) {
            add("clock", rank, incarnation, sentAtNanos, peerUptimeMillis);
        }
    }
}
