package frostrelay.node.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.TestConnection;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;

import org.junit.jupiter.api.Test;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Failed connections are reported on the event loop. */
class ConnectorTest {
    private static boolean isReportedOnTheLoop(EventLoop loop, Bootstrap bootstrap)
            throws Exception {
        CompletableFuture<Boolean> reportedOnLoop = new CompletableFuture<>();
        Bootstrap configuredBootstrap =
                bootstrap.group(loop).handler(new ChannelInboundHandlerAdapter());
        loop.submit(
                        () ->
                                Connector.connect(
                                        configuredBootstrap,
                                        new InetSocketAddress("127.0.0.1", 1),
                                        loop,
                                        cause -> reportedOnLoop.complete(loop.inEventLoop())))
                .get();
        return reportedOnLoop.get(TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Without a file descriptor there is no channel and Netty reports the failure on another
     * thread; it must be passed to the loop, as the pool and the policy belong to one thread.
     */
    @Test
    void aFailureIsReportedOnTheLoopEvenWithoutAFreeDescriptor() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try {
            assertTrue(
                    isReportedOnTheLoop(
                            group.next(),
                            new Bootstrap()
                                    .channelFactory(
                                            () -> {
                                                throw new ChannelException("Too many open files");
                                            })));
            assertTrue(
                    isReportedOnTheLoop(
                            group.next(), new Bootstrap().channel(NioSocketChannel.class)),
                    "connection refused");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
