package frostrelay.adapter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** The adapter's wire protocol: replies, rejected input, and gossip between hosted balancers. */
class AdapterTest {
    private static final String SETTINGS =
            """
            categories.count=1
            categories.0.deadline-ns=2500000000
            categories.0.effect=retryable
            categories.0.goal-time-ns=1200000000
            ceilings.max-attempts=3
            ceilings.may-duplicate=true
            some.unknown-key=7
            n-instances=1
            """;
    private static final long NOW_NANOS = 5_000_000_000L;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int serve(byte[] input) {
        return Main.serve(
                new ByteArrayInputStream(input),
                out,
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private static ByteBuffer frame(int records, int tail) {
        int length = 12 + records * EventFrame.EVENT_BYTES + tail;
        ByteBuffer frame = ByteBuffer.allocate(4 + length).order(ByteOrder.LITTLE_ENDIAN);
        return frame.putInt(0, length).putInt(4, records).putLong(8, NOW_NANOS);
    }

    /** Returns one frame with a balancer's start, a list of one server, and a request. */
    private static byte[] session() {
        byte[] settings = SETTINGS.getBytes(StandardCharsets.UTF_8);
        ByteBuffer frame = frame(4, settings.length + 24);
        int tail = 16 + 4 * EventFrame.EVENT_BYTES;
        frame.position(tail);
        frame.put(settings);
        frame.put(new byte[] {10, 11, 12, 13}).putShort((short) 5003).putShort((short) 0);
        int offset = 16;
        frame.put(offset, (byte) 7)
                .putInt(offset + 1, 3)
                .putLong(offset + 5, 99)
                .putInt(offset + 13, 0)
                .putInt(offset + 17, settings.length);
        offset += EventFrame.EVENT_BYTES;
        frame.put(offset, (byte) 0)
                .put(offset + 1, (byte) 4)
                .putInt(offset + 2, settings.length)
                .putInt(offset + 6, 1);
        offset += EventFrame.EVENT_BYTES;
        frame.put(offset, (byte) 6)
                .putInt(offset + 1, 3)
                .put(offset + 5, (byte) 2)
                .put(offset + 14, (byte) 4);
        offset += EventFrame.EVENT_BYTES;
        frame.put(offset, (byte) 10)
                .putInt(offset + 1, 3)
                .putLong(offset + 5, 4242)
                .putLong(offset + 19, 77)
                .putLong(offset + 27, NOW_NANOS + 2_000_000_000L);
        return frame.array();
    }

    @Test
    void emptyFrameGetsAnEmptyReply() {
        assertEquals(0, serve(frame(0, 0).array()));
        assertArrayEquals(new byte[] {4, 0, 0, 0, 0, 0, 0, 0}, out.toByteArray());
    }

    @Test
    void requestIsForwardedToTheListedServer() {
        assertEquals(0, serve(session()));
        ByteBuffer reply = ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(out.size() - 4, reply.getInt(0));
        assertEquals(2, reply.getInt(4), "one send action and one timer action");
        assertEquals(67, reply.get(8));
        assertEquals(3, reply.getInt(9));
        assertEquals(4242, reply.getLong(13));
        assertEquals(NOW_NANOS + 1_200_000_000L, reply.getLong(21));
        assertArrayEquals(
                new byte[] {10, 11, 12, 13}, Arrays.copyOfRange(out.toByteArray(), 29, 33));
        assertEquals(5003, reply.getShort(33));
    }

    @Test
    void outcomesAndTimersOfUnknownRequestsAreIgnored() {
        ByteBuffer frame = frame(2, 0);
        frame.put(16, (byte) 2).putInt(17, 3).putLong(21, 999).putShort(37, (short) 200);
        frame.put(16 + EventFrame.EVENT_BYTES, (byte) 1).putInt(17 + EventFrame.EVENT_BYTES, 3);
        byte[] start = session();
        byte[] both = Arrays.copyOf(start, start.length + frame.capacity());
        System.arraycopy(frame.array(), 0, both, start.length, frame.capacity());
        assertEquals(0, serve(both));
        assertEquals("", err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void cleanEndOfInputExitsZero() {
        assertEquals(0, serve(new byte[0]));
        assertEquals(0, out.size());
    }

    @Test
    void endOfInputInsideAFrameIsAnError() {
        byte[] whole = session();
        assertMalformed(Arrays.copyOf(whole, whole.length - 1), "end of input");
        assertMalformed(Arrays.copyOf(whole, 3), "end of input");
    }

    @Test
    void invalidLengthsCodesAndOffsetsAreErrors() {
        assertMalformed(frame(0, 0).putInt(0, -1).array(), "length");
        assertMalformed(frame(0, 0).putInt(0, 5).array(), "length");
        assertMalformed(frame(1, 0).putInt(4, 1_000_000).array(), "cannot hold");
        assertMalformed(frame(1, 0).put(16, (byte) 99).array(), "event code 99");
        assertMalformed(frame(1, 0).put(16, (byte) 1).putInt(17, 8).array(), "has not started");
        assertMalformed(
                frame(1, 0).put(16, (byte) 0).putInt(18, 8).putInt(22, 50_000_000).array(),
                "past the end");
        assertMalformed(frame(1, 0).put(16, (byte) 0).put(17, (byte) 200).array(), "list number");
        assertMalformed(
                ByteBuffer.wrap(session())
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .put(16 + 2 * EventFrame.EVENT_BYTES + 5, (byte) 9)
                        .array(),
                "endpoint update mode 9");
        assertMalformed(
                ByteBuffer.wrap(session())
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putShort(16 + 3 * EventFrame.EVENT_BYTES + 13, (short) 40)
                        .array(),
                "request class");
    }

    private void assertMalformed(byte[] input, String word) {
        err.reset();
        assertEquals(1, serve(input));
        String message = err.toString(StandardCharsets.UTF_8);
        assertTrue(message.contains("malformed") && message.contains(word), message);
    }

    /** Random damage must lead to a clean exit or an error text, never a hang or an exception. */
    @Test
    void randomlyDamagedInputIsHandled() {
        assertTimeoutPreemptively(
                Duration.ofSeconds(30),
                () -> {
                    Random random = new Random(5);
                    for (int i = 0; i < 5000; i++) {
                        byte[] bytes = session();
                        for (int n = 1 + random.nextInt(6); n > 0; n--) {
                            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                        }
                        err.reset();
                        int status = serve(bytes);
                        assertEquals(status != 0, err.size() > 0);
                        out.reset();
                    }
                });
    }

    @Test
    void unknownEndpointStatesAndOutcomesAreErrors() {
        byte[] start = session();
        start[16 + 4 * EventFrame.EVENT_BYTES + SETTINGS.length() + 11] = 9;
        assertMalformed(start, "endpoint state 9");
        ByteBuffer frame = frame(1, 0);
        frame.put(16, (byte) 2).putInt(17, 3).putLong(21, 4242).putShort(37, (short) 299);
        byte[] first = session();
        byte[] both = Arrays.copyOf(first, first.length + frame.capacity());
        System.arraycopy(frame.array(), 0, both, first.length, frame.capacity());
        assertMalformed(both, "attempt outcome 299");
    }

    /** Two hosted balancers exchange gossip if both their settings and the adapter enable it. */
    @Test
    void hostedBalancersGossipThroughTheSimulator() throws Exception {
        for (boolean gossipEnabled : new boolean[] {false, true}) {
            PipedRounds rounds = new PipedRounds(gossipEnabled);
            int messageCount = rounds.play(400);
            assertEquals(gossipEnabled, messageCount > 0);
            assertEquals(
                    gossipEnabled,
                    rounds.lateMessageCount > 0,
                    "gossip continues while both balancers run");
        }
    }

    /** A simulator of two balancers that delivers timers and messages in frames 10 ms apart. */
    private static final class PipedRounds {
        private record Timer(int balancer, long atNanos, int token) {}

        private record Message(int sender, int receiver, byte[] data) {}

        private final PipedOutputStream to = new PipedOutputStream();
        private final PipedInputStream from = new PipedInputStream(1 << 16);
        private final List<Timer> timers = new ArrayList<>();
        private final List<Message> messages = new ArrayList<>();
        private long now = NOW_NANOS;
        int lateMessageCount;

        PipedRounds(boolean gossipEnabled) throws Exception {
            PipedInputStream in = new PipedInputStream(to, 1 << 16);
            PipedOutputStream out = new PipedOutputStream(from);
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    new Adapter(in, out, gossipEnabled).run();
                                } catch (IOException e) {
                                    // The test has ended.
                                }
                            });
            thread.setDaemon(true);
            thread.start();
        }

        int play(int batches) throws Exception {
            int messageCount = 0;
            for (int batch = 0; batch < batches; batch++) {
                now += 10_000_000;
                List<byte[]> records = new ArrayList<>();
                ByteArrayOutputStream tail = new ByteArrayOutputStream();
                for (int i = 0; batch == 0 && i < 2; i++) {
                    byte[] settings =
                            (SETTINGS.replace("n-instances=1", "n-instances=2")
                                            + "rank="
                                            + i
                                            + "\nceilings.peer-messages=true\n")
                                    .getBytes(StandardCharsets.UTF_8);
                    records.add(
                            record(7, i)
                                    .putLong(5, 99)
                                    .putInt(13, tail.size())
                                    .putInt(17, settings.length)
                                    .array());
                    tail.writeBytes(settings);
                }
                for (Timer timer : List.copyOf(timers)) {
                    if (timer.atNanos() <= now) {
                        timers.remove(timer);
                        records.add(record(1, timer.balancer()).putInt(5, timer.token()).array());
                    }
                }
                for (Message message : messages) {
                    byte[] data = message.data();
                    records.add(
                            record(4, message.receiver())
                                    .putShort(5, (short) message.sender())
                                    .putInt(7, tail.size())
                                    .putInt(11, data.length)
                                    .array());
                    tail.writeBytes(data);
                }
                lateMessageCount += batch > batches / 2 ? messages.size() : 0;
                messages.clear();
                ByteBuffer head =
                        ByteBuffer.allocate(16)
                                .order(ByteOrder.LITTLE_ENDIAN)
                                .putInt(12 + records.size() * EventFrame.EVENT_BYTES + tail.size())
                                .putInt(records.size())
                                .putLong(now);
                to.write(head.array());
                for (byte[] one : records) {
                    to.write(one);
                }
                to.write(tail.toByteArray());
                to.flush();
                messageCount += reply();
            }
            return messageCount;
        }

        private static ByteBuffer record(int code, int balancer) {
            return ByteBuffer.allocate(EventFrame.EVENT_BYTES)
                    .order(ByteOrder.LITTLE_ENDIAN)
                    .put(0, (byte) code)
                    .putInt(1, balancer);
        }

        private int reply() throws Exception {
            int length =
                    ByteBuffer.wrap(from.readNBytes(4)).order(ByteOrder.LITTLE_ENDIAN).getInt();
            ByteBuffer in = ByteBuffer.wrap(from.readNBytes(length)).order(ByteOrder.LITTLE_ENDIAN);
            int count = in.getInt(0);
            int messageCount = 0;
            for (int i = 0; i < count; i++) {
                int offset = 4 + i * ReplyWriter.ACTION_BYTES;
                if (in.get(offset) == 68) {
                    timers.add(
                            new Timer(
                                    in.getInt(offset + 1),
                                    in.getLong(offset + 5),
                                    in.getInt(offset + 13)));
                } else if (in.get(offset) == 69) {
                    byte[] data = new byte[in.getInt(offset + 13)];
                    in.get(4 + count * ReplyWriter.ACTION_BYTES + in.getInt(offset + 9), data);
                    assertTrue(data.length <= 256);
                    messages.add(new Message(in.getInt(offset + 1), in.getInt(offset + 5), data));
                    messageCount++;
                }
            }
            return messageCount;
        }
    }
}
