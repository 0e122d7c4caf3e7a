package frostrelay.testbed.origin;

import frostrelay.testbed.wire.MetaCodec;
import frostrelay.testbed.wire.MetaMessage;

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
 * A cache's client of the origin: one connection, with responses matched to requests by id. Methods
 * may be called from any thread; callbacks run on the given event loop.
 */
public final class OriginClient {
    private record PendingCall(Consumer<MetaMessage> callback, Future<?> timeout) {}

    private final InetSocketAddress originAddress;
    private final EventLoop loop;
    private final Map<String, PendingCall> pendingCalls = new HashMap<>();
    private ChannelFuture connectFuture;
    private long lastId;

    /** Creates a client of the origin at an address. */
    public OriginClient(InetSocketAddress originAddress, EventLoop loop) {
        this.originAddress = originAddress;
        this.loop = loop;
    }

    /** Fetches the value of a key; the callback gets null on failure or timeout. */
    public void fetch(String key, long timeoutNanos, Consumer<byte[]> callback) {
        loop.execute(
                () ->
                        call(
                                "mg " + key + " v",
                                null,
                                timeoutNanos,
                                answer ->
                                        callback.accept(
                                                answer != null && answer.token(0).equals("VA")
                                                        ? answer.data()
                                                        : null)));
    }

    /**
     * Sends a write; the callback gets false if it was not confirmed, in which case it may still
     * have been executed.
     */
    public void write(String key, byte[] value, long timeoutNanos, Consumer<Boolean> callback) {
        loop.execute(
                () ->
                        call(
                                "ms " + key + ' ' + value.length,
                                value,
                                timeoutNanos,
                                answer ->
                                        callback.accept(
                                                answer != null && answer.token(0).equals("HD"))));
    }

    private void call(
            String command, byte[] data, long timeoutNanos, Consumer<MetaMessage> callback) {
        String id = Long.toHexString(++lastId);
        Future<?> timeoutTask =
                loop.schedule(() -> complete(id, null), timeoutNanos, TimeUnit.NANOSECONDS);
        pendingCalls.put(id, new PendingCall(callback, timeoutTask));
        if (connectFuture == null) {
            connectFuture =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(
                                    new ChannelInitializer<SocketChannel>() {
                                        @Override
                                        protected void initChannel(SocketChannel fresh) {
                                            fresh.pipeline()
                                                    .addLast(
                                                            new MetaCodec(), new ResponseHandler());
                                        }
                                    })
                            .connect(originAddress);
        }
        // Data written before the connection is established would be lost.
        connectFuture.addListener(
                (ChannelFuture opened) -> {
                    if (opened.isSuccess()) {
                        opened.channel()
                                .writeAndFlush(
                                        MetaCodec.encode(
                                                opened.channel().alloc(),
                                                command + " O" + id,
                                                data));
                    } else {
                        onConnectionLost();
                    }
                });
    }

    private void complete(String id, MetaMessage response) {
        PendingCall call = pendingCalls.remove(id);
        if (call != null) {
            call.timeout.cancel(false);
            call.callback.accept(response);
        }
    }

    private void onConnectionLost() {
        connectFuture = null;
        List.copyOf(pendingCalls.keySet()).forEach(id -> complete(id, null));
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<MetaMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaMessage message) {
            complete(message.flag('O'), message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onConnectionLost();
        }
    }
}
