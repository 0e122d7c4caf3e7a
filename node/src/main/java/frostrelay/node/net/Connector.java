package frostrelay.node.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Opens connections and reports failures on the event loop. */
public final class Connector {
    private Connector() {}

    /**
     * Connects and returns the channel, which need not be connected yet.
     *
     * @param onFailure called on {@code loop} with the cause if the connection fails, possibly
     *     before this method returns. Without a free file descriptor Netty reports the failure on
     *     another thread; the call is then passed to the loop.
     */
    public static Channel connect(
            Bootstrap bootstrap,
            InetSocketAddress address,
            EventLoop loop,
            Consumer<Throwable> onFailure) {
        ChannelFuture connectFuture = bootstrap.connect(address);
        connectFuture.addListener(
                done -> {
                    if (done.isSuccess()) {
                        return;
                    }
                    if (loop.inEventLoop()) {
                        onFailure.accept(done.cause());
                    } else {
                        loop.execute(() -> onFailure.accept(done.cause()));
                    }
                });
        return connectFuture.channel();
    }
}
