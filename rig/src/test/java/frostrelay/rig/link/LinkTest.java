package frostrelay.rig.link;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A link may be slow, narrow or still, but it never loses, doubles or swaps a byte. */
class LinkTest {
    private static final NioEventLoopGroup GROUP = new NioEventLoopGroup(1);

    @AfterAll
    static void end() {
        GROUP.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private record Through(Link link, InetSocketAddress address, ServerSocket far)
            implements AutoCloseable {
        static Through open() throws Exception {
            ServerSocket far = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
            Link link = new Link(GROUP.next(), (InetSocketAddress) far.getLocalSocketAddress());
            return new Through(link, link.listen(0), far);
        }

        CompletableFuture<byte[]> received() {
            return CompletableFuture.supplyAsync(
                    () -> {
                        try (Socket socket = far.accept()) {
                            return socket.getInputStream().readAllBytes();
                        } catch (IOException e) {
                            throw new IllegalStateException(e);
                        }
                    });
        }

        @Override
        public void close() throws IOException {
            far.close();
        }
    }

    @Test
    void bytesComeWholeAndInOrderThroughDelayStallAndNarrowing() throws Exception {
        byte[] sent = new byte[400_000];
        new Random(4).nextBytes(sent);
        try (Through through = Through.open()) {
            CompletableFuture<byte[]> received = through.received();
            long start = System.nanoTime();
            try (Socket socket =
                    new Socket(through.address.getAddress(), through.address.getPort())) {
                through.link.delay(60_000_000L);
                socket.getOutputStream().write(sent, 0, 1_000);
                Thread.sleep(20);
                through.link.bandwidth(4_000_000);
                socket.getOutputStream().write(sent, 1_000, 199_000);
                through.link.stall(true);
                Thread.sleep(50);
                through.link.stall(false);
                socket.getOutputStream().write(sent, 200_000, 200_000);
            }
            assertArrayEquals(sent, received.get(20, TimeUnit.SECONDS));
            assertTrue(System.nanoTime() - start > 100_000_000L, "it was slow");
        }
    }

    @Test
    void aCutResetsWhatIsOpenAndWhatComes() throws Exception {
        try (Through through = Through.open();
                Socket socket =
                        new Socket(through.address.getAddress(), through.address.getPort());
                Socket far = through.far.accept()) {
            socket.getOutputStream().write(1);
            far.getInputStream().read();
            through.link.cut(true);
            assertThrows(
                    IOException.class,
                    () -> {
                        if (socket.getInputStream().read() < 0) {
                            throw new IOException("closed");
                        }
                    });
            try (Socket again =
                    new Socket(through.address.getAddress(), through.address.getPort())) {
                assertThrows(
                        IOException.class,
                        () -> {
                            if (again.getInputStream().read() < 0) {
                                throw new IOException("closed");
                            }
                        });
            }
        }
    }
}
