package frostrelay.testbed.link;

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

/** Checks that delays, stalls and bandwidth limits never lose, duplicate or reorder bytes. */
class FaultProxyTest {
    private static final NioEventLoopGroup GROUP = new NioEventLoopGroup(1);

    @AfterAll
    static void stopEventLoop() {
        GROUP.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private record ProxiedServer(FaultProxy proxy, InetSocketAddress address, ServerSocket server)
            implements AutoCloseable {
        static ProxiedServer open() throws Exception {
            ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
            FaultProxy proxy =
                    new FaultProxy(
                            GROUP.next(), (InetSocketAddress) server.getLocalSocketAddress());
            return new ProxiedServer(proxy, proxy.listen(0), server);
        }

        CompletableFuture<byte[]> readAllAsync() {
            return CompletableFuture.supplyAsync(
                    () -> {
                        try (Socket socket = server.accept()) {
                            return socket.getInputStream().readAllBytes();
                        } catch (IOException e) {
                            throw new IllegalStateException(e);
                        }
                    });
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    @Test
    void bytesArriveCompleteAndInOrderThroughDelayStallAndLowBandwidth() throws Exception {
        byte[] sent = new byte[400_000];
        new Random(4).nextBytes(sent);
        try (ProxiedServer proxied = ProxiedServer.open()) {
            CompletableFuture<byte[]> received = proxied.readAllAsync();
            long start = System.nanoTime();
            try (Socket socket =
                    new Socket(proxied.address.getAddress(), proxied.address.getPort())) {
                proxied.proxy.setDelay(60_000_000L);
                socket.getOutputStream().write(sent, 0, 1_000);
                Thread.sleep(20);
                proxied.proxy.setBandwidth(4_000_000);
                socket.getOutputStream().write(sent, 1_000, 199_000);
                proxied.proxy.setStalled(true);
                Thread.sleep(50);
                proxied.proxy.setStalled(false);
                socket.getOutputStream().write(sent, 200_000, 200_000);
            }
            assertArrayEquals(sent, received.get(20, TimeUnit.SECONDS));
            assertTrue(
                    System.nanoTime() - start > 100_000_000L,
                    "the transfer takes more than 100 ms under the injected faults");
        }
    }

    @Test
    void aCutResetsWhatIsOpenAndWhatComes() throws Exception {
        try (ProxiedServer proxied = ProxiedServer.open();
                Socket socket =
                        new Socket(proxied.address.getAddress(), proxied.address.getPort());
                Socket serverSocket = proxied.server.accept()) {
            socket.getOutputStream().write(1);
            serverSocket.getInputStream().read();
            proxied.proxy.setCut(true);
            assertThrows(
                    IOException.class,
                    () -> {
                        if (socket.getInputStream().read() < 0) {
                            throw new IOException("closed");
                        }
                    });
            try (Socket secondSocket =
                    new Socket(proxied.address.getAddress(), proxied.address.getPort())) {
                assertThrows(
                        IOException.class,
                        () -> {
                            if (secondSocket.getInputStream().read() < 0) {
                                throw new IOException("closed");
                            }
                        });
            }
        }
    }
}
