package frostrelay.testbed.bench;

import frostrelay.testbed.wire.Loopback;
import frostrelay.testbed.wire.MetaCodec;
import frostrelay.testbed.wire.MetaMessage;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.LongAdder;

/**
 * A cache that answers every read immediately with the same value, so that a benchmark measures the
 * cost of the components in front of it.
 */
final class EchoCache {
    private final byte[] value;
    private final LongAdder connections = new LongAdder();

    /** Creates a cache. {@code bytes}: size of the value. */
    EchoCache(int bytes) {
        value = new byte[bytes];
        java.util.Arrays.fill(value, (byte) 'v');
    }

    /** Starts listening and returns the address. */
    InetSocketAddress start(EventLoop loop) throws InterruptedException {
        return (InetSocketAddress)
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel fresh) {
                                        connections.increment();
                                        fresh.pipeline().addLast(new MetaCodec(), new Answers());
                                    }
                                })
                        .bind(Loopback.port(0))
                        .sync()
                        .channel()
                        .localAddress();
    }

    /** Returns the number of connections opened so far. */
    long connections() {
        return connections.sum();
    }

    private final class Answers extends SimpleChannelInboundHandler<MetaMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaMessage message) {
            String line =
                    message.token(0).equals("mg")
                            ? "VA " + value.length + " O" + message.flag('O') + " h1"
                            : "MN";
            ctx.write(
                    MetaCodec.encode(
                            ctx.alloc(), line, message.token(0).equals("mg") ? value : null));
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            ctx.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
