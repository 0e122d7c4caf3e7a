package frostrelay.node.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Opens connections. */
public final class Connector {
    private Connector() {}

    /**
     * Connects. {@code onFailure} hears on the loop why that came to nothing: where there is not
     * even a descriptor, Netty tells it on a thread of its own, and all that hears of it belongs to
     * the loop. May be called back before this returns.
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
