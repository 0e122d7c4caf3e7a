package frostrelay.rig.archive;

import frostrelay.rig.wire.MetaCodec;
import frostrelay.rig.wire.MetaMessage;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A cache's way to the archive: one connection, answers told apart by their ids. Runs on the loop
 * it is given; calls from any thread, answers on the loop.
 */
public final class ArchiveClient {
    private record Call(Consumer<MetaMessage> done, Future<?> timeout) {}

    private final InetSocketAddress archive;
    private final EventLoop loop;
    private final Map<String, Call> calls = new HashMap<>();
    private ChannelFuture up;
    private long lastId;

    /** {@code archive}: where it listens. */
    public ArchiveClient(InetSocketAddress archive, EventLoop loop) {
        this.archive = archive;
        this.loop = loop;
    }

    /** The value of a key; null if it could not be had in so many nanoseconds. */
    public void fetch(String key, long timeout, Consumer<byte[]> done) {
        loop.execute(
                () ->
                        call(
                                "mg " + key + " v",
                                null,
                                timeout,
                                answer ->
                                        done.accept(
                                                answer != null && answer.word(0).equals("VA")
                                                        ? answer.data()
                                                        : null)));
    }

    /** Passes a write on; false if it was not confirmed, though it may have been carried out. */
    public void write(String key, byte[] value, long timeout, Consumer<Boolean> done) {
        loop.execute(
                () ->
                        call(
                                "ms " + key + ' ' + value.length,
                                value,
                                timeout,
                                answer ->
                                        done.accept(
                                                answer != null && answer.word(0).equals("HD"))));
    }

    private void call(String command, byte[] data, long timeout, Consumer<MetaMessage> done) {
        String id = Long.toHexString(++lastId);
        Future<?> late = loop.schedule(() -> end(id, null), timeout, TimeUnit.NANOSECONDS);
        calls.put(id, new Call(done, late));
        if (up == null) {
            up =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(
                                    new ChannelInitializer<SocketChannel>() {
                                        @Override
                                        protected void initChannel(SocketChannel fresh) {
                                            fresh.pipeline()
                                                    .addLast(new MetaCodec(), new Answers());
                                        }
                                    })
                            .connect(archive);
        }
        // What is written before the connection is up would be lost.
        up.addListener(
                (ChannelFuture opened) -> {
                    if (opened.isSuccess()) {
                        opened.channel()
                                .writeAndFlush(
                                        MetaCodec.encode(
                                                opened.channel().alloc(),
                                                command + " O" + id,
                                                data));
                    } else {
                        lost();
                    }
                });
    }

    private void end(String id, MetaMessage answer) {
        Call call = calls.remove(id);
        if (call != null) {
            call.timeout.cancel(false);
            call.done.accept(answer);
        }
    }

    private void lost() {
        up = null;
        List.copyOf(calls.keySet()).forEach(id -> end(id, null));
    }

    private final class Answers extends SimpleChannelInboundHandler<MetaMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaMessage message) {
            end(message.flag('O'), message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lost();
        }
    }
}
