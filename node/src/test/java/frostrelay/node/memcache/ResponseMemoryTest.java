package frostrelay.node.memcache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.net.MemoryAccount;
import frostrelay.node.net.MemoryLimiter;
import frostrelay.node.net.MemoryPool;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;

/** Responses wait outside of the process for memory, and the largest holders wait first. */
class ResponseMemoryTest {
    private final MemoryLimiter limiter = new MemoryLimiter(100_000);
    private final MemoryAccount account = new MemoryAccount(limiter);
    private int readRequests;

    private final MetaDecoder decoder =
            MetaDecoder.forResponses(
                    new MetaDecoder.ResponseMemory() {
                        @Override
                        public MemoryPool memoryForData() {
                            return account;
                        }

                        @Override
                        public void onMemoryAwaited() {
                            channel.config().setAutoRead(false);
                        }

                        @Override
                        public void onMemoryReserved() {
                            channel.config().setAutoRead(true);
                        }
                    });
    private final EmbeddedChannel channel =
            new EmbeddedChannel(
                    new ChannelOutboundHandlerAdapter() {
                        @Override
                        public void read(ChannelHandlerContext ctx) {
                            readRequests++;
                        }
                    },
                    decoder);

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /** Guards against reading on while there is no memory, which Netty's decoder would do. */
    @Test
    void aResponseWithoutMemoryIsNotReadUntilThereIsSome() {
        account.reserve(80_000);
        int readsBefore = readRequests;
        receive("VA 60000 O1\r\nfirst");
        assertTrue(decoder.isAwaitingMemory());
        assertEquals(readsBefore, readRequests, "reads requested while there is no memory");
        assertEquals(80_000, limiter.reservedBytes());
        decoder.resume();
        assertTrue(decoder.isAwaitingMemory(), "still no memory");
        account.release(80_000);
        decoder.resume();
        assertEquals(60_000, limiter.reservedBytes());
        assertNull(channel.readInbound());
        receive("x".repeat(60_000 - "first".length()) + "\r\n");
        MetaFrame frame = channel.readInbound();
        assertTrue(new String(frame.data(), StandardCharsets.US_ASCII).startsWith("firstx"));
        assertEquals(0, limiter.reservedBytes());
    }

    /** Guards against one client that reads nothing taking the memory of all others. */
    @Test
    void anAccountMayNotGrowBeyondWhatIsFree() {
        while (account.tryReserve(1_000)) {
            // Grows as far as it may.
        }
        assertEquals(50_000, account.heldBytes());
        MemoryAccount other = new MemoryAccount(limiter);
        assertTrue(other.tryReserve(25_000));
        assertEquals(0, account.roomBytes(), "the larger account yields first");
    }
}
