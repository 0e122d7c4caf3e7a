package frostrelay.node.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.net.MemoryAccount;
import frostrelay.node.net.MemoryLimiter;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;

/** Unsent responses take about the memory of their bytes, and little of it is direct. */
class OutputQueueTest {
    private static final int MEBIBYTE = 1024 * 1024;

    private final MemoryLimiter heap = new MemoryLimiter(8 * MEBIBYTE);
    private final MemoryLimiter direct = new MemoryLimiter(MEBIBYTE);
    private final Queue<ChannelPromise> heldWrites = new ArrayDeque<>();
    private final StringBuilder written = new StringBuilder();

    /** A channel whose socket accepts a write only when the test completes its promise. */
    private final EmbeddedChannel channel =
            new EmbeddedChannel(
                    new ChannelOutboundHandlerAdapter() {
                        @Override
                        public void write(
                                ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                            written.append(((ByteBuf) message).toString(StandardCharsets.US_ASCII));
                            ((ByteBuf) message).release();
                            heldWrites.add(promise);
                        }
                    });

    private OutputQueue newQueue() {
        return new OutputQueue(
                channel, new MemoryAccount(heap), new MemoryAccount(direct), () -> {});
    }

    /**
     * Guards against small pieces of a long value each holding a read buffer: some hundred clients
     * that paused used up the direct memory.
     */
    @Test
    void smallPiecesOfAValueShareBuffers() {
        OutputQueue queue = newQueue();
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < 20_000; i++) {
            String piece = "piece".substring(0, 1 + i % 5);
            expected.append(piece);
            queue.add(Unpooled.copiedBuffer(piece, StandardCharsets.US_ASCII));
            queue.flush();
        }
        assertTrue(
                heap.reservedBytes() < 1.5 * expected.length(),
                "heap for " + expected.length() + " bytes: " + heap.reservedBytes());
        assertEquals(1, heldWrites.size(), "one write is in the channel at a time");
        assertFalse(queue.hasCapacity() && expected.length() > 64 * 1024);
        while (!heldWrites.isEmpty()) {
            heldWrites.poll().setSuccess();
        }
        assertEquals(expected.toString(), written.toString());
        assertEquals(0, heap.reservedBytes() + direct.reservedBytes());
    }

    /**
     * Guards against a thousand clients that do not read holding more direct memory than exists.
     */
    @Test
    void writesShrinkWhileMemoryForThemIsShort() {
        byte[] value = new byte[60_000];
        for (int i = 0; i < 500; i++) {
            OutputQueue queue = newQueue();
            queue.add("VA 60000 O1\r\n", value);
            queue.flush();
        }
        long minimumWrites = 500L * 4 * 1024;
        assertTrue(
                direct.reservedBytes() < MEBIBYTE + minimumWrites,
                "direct: " + direct.reservedBytes());
    }

    @Test
    void theActionForAnEmptyQueueRunsOnceAfterTheLastByte() {
        OutputQueue queue = newQueue();
        int[] runs = {0};
        queue.add("MN\r\n", null);
        queue.whenEmpty(() -> runs[0]++);
        assertEquals(0, runs[0]);
        heldWrites.poll().setSuccess();
        assertEquals(1, runs[0]);
        queue.add("MN\r\n", null);
        queue.discard();
        assertEquals(0, heap.reservedBytes());
    }
}
