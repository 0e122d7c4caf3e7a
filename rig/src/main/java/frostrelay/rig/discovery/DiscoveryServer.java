package frostrelay.rig.discovery;

import com.fasterxml.jackson.jr.ob.JSON;
import frostrelay.rig.referee.Referee;
import frostrelay.rig.wire.Loopback;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for discovery on loopback: the list and watches on its changes, told late, and at times not at all. It
 * listens once for each balancer and tells the referee what each was told. Runs on one event loop; the public calls may
 * come from any thread.
 */
public final class DiscoveryServer {
    private static final int MOST_REQUEST = 8 * 1024;
    private static final long MOST_WAIT_MS = 60_000;

    /** A change as it was entered, visible from its version on. */
    private record Entry(long rev, Member member) {
    }

    /** One balancer's calls: where the caches are from there. */
    private record Caller(String balancer, Map<String, String> endpoints) {
    }

    private final EventLoop loop;
    private final Referee referee;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private final Map<String, Map<String, Long>> knownBoots = new LinkedHashMap<>();
    private long rev = 1;
    private long lateness;
    private boolean down;

    /** {@code lateness}: nanoseconds from a change to the moment at which it can be told. */
    public DiscoveryServer(EventLoop loop, Referee referee, long lateness) {
        this.loop = loop;
        this.referee = referee;
        this.lateness = lateness;
    }

    /** Listens for one balancer, for which the caches are at {@code endpoints}, ADDRESS:PORT by uid. */
    public InetSocketAddress listen(String balancer, Map<String, String> endpoints) throws InterruptedException {
        Caller caller = new Caller(balancer, Map.copyOf(endpoints));
        return (InetSocketAddress) new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_REQUEST),
                                new Calls(caller));
                    }
                }).bind(Loopback.port(0)).sync().channel().localAddress();
    }

    /** What is so from now on; it is told once the lateness has passed. */
    public void change(Member member) {
        loop.execute(() -> loop.schedule(() -> {
            entries.put(member.uid(), new Entry(++rev, member));
            List.copyOf(watches).forEach(Watch::news);
        }, lateness, TimeUnit.NANOSECONDS));
    }

    /** What is so before anything begins: it is not late. */
    public void known(Member member) {
        loop.submit(() -> entries.put(member.uid(), new Entry(rev, member))).syncUninterruptibly();
    }

    /** Further changes are told this much later, in nanoseconds. */
    public void late(long time) {
        loop.execute(() -> lateness = time);
    }

    /** Out of reach, or back: calls fail and watches end. */
    public void outage(boolean on) {
        loop.execute(() -> {
            down = on;
            if (on) {
                List.copyOf(watches).forEach(watch -> watch.channel.close());
            }
        });
    }

    private List<Member> since(long known) {
        List<Member> members = new ArrayList<>();
        entries.values().stream().filter(entry -> entry.rev > known).forEach(entry -> members.add(entry.member));
        return members;
    }

    /** The whole list as a balancer sees it, in discovery's form. */
    public Map<String, Object> list(Map<String, String> endpoints) {
        return loop.submit(() -> json(true, since(0), endpoints)).syncUninterruptibly().getNow();
    }

    private Map<String, Object> json(boolean all, List<Member> members, Map<String, String> endpoints) {
        List<Object> targets = new ArrayList<>();
        for (Member member : members) {
            if (all && member.state() == Member.State.GONE || !endpoints.containsKey(member.uid())) {
                continue;
            }
            Map<String, Object> target = new LinkedHashMap<>();
            target.put("uid", member.uid());
            target.put("endpoint", endpoints.get(member.uid()));
            target.put("az", "local");
            target.put("model", "cache");
            target.put("pod_group", 0);
            target.put("state", member.state().word);
            target.put("capacity_hint", 1.0);
            target.put("boot_ms", member.bootMs());
            targets.add(target);
        }
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("rev", rev);
        list.put("all", all);
        list.put("targets", targets);
        return list;
    }

    private void answer(Channel channel, Caller caller, boolean all, List<Member> members) {
        long now = System.nanoTime();
        try {
            byte[] body = JSON.std.asString(json(all, members, caller.endpoints))
                    .getBytes(StandardCharsets.UTF_8);
            respond(channel, HttpResponseStatus.OK, body);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        for (Member member : members) {
            referee.told(now, caller.balancer, member.uid(), member.state() == Member.State.READY);
            Long before = knownBoots.computeIfAbsent(caller.balancer, b -> new TreeMap<>())
                    .put(member.uid(), member.bootMs());
            if (member.bootMs() > 0 && (before == null || before != member.bootMs())) {
                referee.toldStart(caller.balancer, member.uid());
            }
        }
    }

    private static void respond(Channel channel, HttpResponseStatus status, byte[] body) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length).set(HttpHeaderNames.CONNECTION, "close");
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** A call that waits for news. */
    private final class Watch {
        final Channel channel;
        private final Caller caller;
        private final long known;
        private Future<?> limit;

        Watch(Channel channel, Caller caller, long known) {
            this.channel = channel;
            this.caller = caller;
            this.known = known;
        }

        void begin(long waitMs) {
            watches.add(this);
            limit = loop.schedule(this::news, waitMs, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(closed -> end());
            if (rev > known) {
                news();
            }
        }

        void news() {
            end();
            answer(channel, caller, false, since(known));
        }

        private void end() {
            watches.remove(this);
            limit.cancel(false);
        }
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Caller caller;

        Calls(Caller caller) {
            this.caller = caller;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (down) {
                respond(ctx.channel(), HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
            } else if (!query.path().equals("/catalog/members")) {
                respond(ctx.channel(), HttpResponseStatus.NOT_FOUND, new byte[0]);
            } else if (query.parameters().containsKey("since")) {
                try {
                    long known = Long.parseLong(query.parameters().get("since").get(0));
                    long wait = Math.min(MOST_WAIT_MS,
                            Long.parseLong(query.parameters().getOrDefault("timeout_ms", List.of("0")).get(0)));
                    new Watch(ctx.channel(), caller, known).begin(wait);
                } catch (NumberFormatException e) {
                    respond(ctx.channel(), HttpResponseStatus.BAD_REQUEST, new byte[0]);
                }
            } else {
                answer(ctx.channel(), caller, true, since(0));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
