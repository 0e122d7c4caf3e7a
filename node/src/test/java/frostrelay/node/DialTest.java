package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

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

/** How a connection that comes to nothing is told. */
class DialTest {
    private static boolean toldOnTheLoop(EventLoop loop, Bootstrap bootstrap) throws Exception {
        CompletableFuture<Boolean> told = new CompletableFuture<>();
        Bootstrap dial = bootstrap.group(loop).handler(new ChannelInboundHandlerAdapter());
        loop.submit(
                        () ->
                                Dial.connect(
                                        dial,
                                        new InetSocketAddress("127.0.0.1", 1),
                                        loop,
                                        cause -> told.complete(loop.inEventLoop())))
                .get();
        return told.get(Peer.LIMIT_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Without a descriptor there is no channel, and Netty told it on another thread: the pool and
     * the module were run on two.
     */
    @Test
    void aFailureIsToldOnTheLoopAlsoWhereNoDescriptorIsLeft() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try {
            assertTrue(
                    toldOnTheLoop(
                            group.next(),
                            new Bootstrap()
                                    .channelFactory(
                                            () -> {
                                                throw new ChannelException("Too many open files");
                                            })));
            assertTrue(
                    toldOnTheLoop(group.next(), new Bootstrap().channel(NioSocketChannel.class)),
                    "refused");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
