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
 * A stand-in for discovery on loopback: the list and watches on its changes, told late, and at
 * times not at all. It listens once for each balancer and tells the referee what each was told.
 * Runs on one event loop; the public calls may come from any thread.
 */
public final class DiscoveryServer {
    private static final int MOST_REQUEST = 8 * 1024;
    private static final long RETRY_MS = 100;
    private static final long MOST_WAIT_MS = 60_000;

    /**
     * So long after discovery had it and could be reached a change counts as told, whether a
     * balancer asked or not.
     */
    private static final long COUNTS_AS_TOLD = 6_000_000_000L;

    /**
     * What a watch that fell silent missed counts no sooner than this behind the end of its wait.
     */
    private static final long BEHIND_WAIT = 2_000_000_000L;

    /** A change as it was entered, visible from its version on. */
    private record Entry(long rev, Member member) {}

    /** One balancer's calls: where the caches are from there, and how far it is told. */
    private static final class Caller {
        final String balancer;
        final Map<String, String> endpoints;
        long seen;
        long late;
        boolean cut;
        boolean pinned;

        /** The newest version that was written to it. */
        long told;

        /** Since when nothing keeps it from the newest list. */
        long reachableSince = System.nanoTime();

        /** Until then it need not know what a watch that fell silent missed. */
        long silentUntil = System.nanoTime();

        boolean isHindered() {
            return cut || pinned || late > 0;
        }

        Caller(String balancer, Map<String, String> endpoints, long seen) {
            this.balancer = balancer;
            this.endpoints = Map.copyOf(endpoints);
            this.seen = seen;
        }
    }

    private final EventLoop loop;
    private final Referee referee;

    /** What was ever entered of each cache, the newest last: some are told older lists. */
    private final Map<String, List<Entry>> entries = new TreeMap<>();

    private final Map<String, Caller> callers = new LinkedHashMap<>();
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

    /**
     * Listens for one balancer, for which the caches are at {@code endpoints}, ADDRESS:PORT by uid.
     */
    public InetSocketAddress listen(String balancer, Map<String, String> endpoints)
            throws InterruptedException {
        Caller caller =
                loop.submit(
                                () ->
                                        callers.computeIfAbsent(
                                                balancer, name -> new Caller(name, endpoints, rev)))
                        .syncUninterruptibly()
                        .getNow();
        return (InetSocketAddress)
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel fresh) {
                                        fresh.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MOST_REQUEST),
                                                        new Calls(caller));
                                    }
                                })
                        .bind(Loopback.port(0))
                        .sync()
                        .channel()
                        .localAddress();
    }

    /** What is so from now on; it is told once the lateness has passed. */
    public void change(Member member) {
        loop.execute(
                () ->
                        loop.schedule(
                                () -> {
                                    rev++;
                                    enter(member);
                                    referee.watcher().version(System.nanoTime(), rev, states(rev));
                                    long fresh = rev;
                                    for (Caller caller : callers.values()) {
                                        if (caller.late > 0) {
                                            loop.schedule(
                                                    () -> see(caller, fresh),
                                                    caller.late,
                                                    TimeUnit.NANOSECONDS);
                                        } else {
                                            see(caller, fresh);
                                        }
                                        loop.schedule(
                                                () -> countAsTold(caller, fresh, member),
                                                COUNTS_AS_TOLD,
                                                TimeUnit.NANOSECONDS);
                                    }
                                },
                                lateness,
                                TimeUnit.NANOSECONDS));
    }

    /**
     * What a balancer could have asked for by now binds it as though it had been told, unless that
     * has changed again.
     */
    private void countAsTold(Caller caller, long fresh, Member member) {
        List<Entry> history = entries.get(member.uid());
        if (caller.told >= fresh || history.get(history.size() - 1).rev != fresh) {
            return;
        }
        long now = System.nanoTime();
        long left = Math.max(caller.reachableSince + COUNTS_AS_TOLD, caller.silentUntil) - now;
        if (down || caller.isHindered() || left > 0) {
            loop.schedule(
                    () -> countAsTold(caller, fresh, member),
                    Math.max(left, RETRY_MS * 1_000_000),
                    TimeUnit.NANOSECONDS);
        } else {
            referee.told(now, caller.balancer, member.uid(), member.state() == Member.State.READY);
        }
    }

    /**
     * All open watches fall silent: their connections stay open, and nothing comes on them any
     * more. What they miss binds after {@code within} nanoseconds; if that is 0, by the operators'
     * page: 6 s, or 2 s behind the wait if that is later.
     */
    public void silenceWatches(long within) {
        loop.execute(
                () -> {
                    watches.forEach(watch -> watch.fallSilent(within));
                    watches.clear();
                });
    }

    private void enter(Member member) {
        entries.computeIfAbsent(member.uid(), uid -> new ArrayList<>()).add(new Entry(rev, member));
    }

    private void see(Caller caller, long fresh) {
        if (caller.pinned || fresh <= caller.seen) {
            return;
        }
        caller.seen = fresh;
        for (Watch watch : List.copyOf(watches)) {
            if (watch.caller == caller) {
                watch.news();
            }
        }
    }

    /** What the list of a version says of each cache that it names, in discovery's words. */
    private Map<String, String> states(long upTo) {
        Map<String, String> states = new LinkedHashMap<>();
        since(0, upTo).stream()
                .filter(member -> member.state() != Member.State.GONE)
                .forEach(
                        member ->
                                states.put(
                                        member.uid(), member.state().word + '|' + member.bootMs()));
        return states;
    }

    /** Tells the watcher how the list stands. */
    public void show() {
        loop.submit(() -> referee.watcher().version(System.nanoTime(), rev, states(rev)))
                .syncUninterruptibly();
    }

    /** One balancer can or cannot reach discovery: its calls break. */
    public void cut(String balancer, boolean on) {
        loop.execute(
                () -> {
                    Caller caller = callers.get(balancer);
                    caller.cut = on;
                    caller.reachableSince = System.nanoTime();
                    if (on) {
                        List.copyOf(watches).stream()
                                .filter(watch -> watch.caller == caller)
                                .forEach(watch -> watch.channel.close());
                    }
                });
    }

    /** One balancer is told of changes this much later than others, in nanoseconds. */
    public void late(String balancer, long time) {
        loop.execute(
                () -> {
                    Caller caller = callers.get(balancer);
                    caller.late = time;
                    caller.reachableSince = System.nanoTime();
                    if (time == 0) {
                        see(caller, rev);
                    }
                });
    }

    /** One balancer is told nothing newer than what it was told last, or all of it again. */
    public void pin(String balancer, boolean on) {
        loop.execute(
                () -> {
                    Caller caller = callers.get(balancer);
                    caller.pinned = on;
                    caller.reachableSince = System.nanoTime();
                    if (!on) {
                        see(caller, rev);
                    }
                });
    }

    /** What is so before anything begins: it is not late. */
    public void known(Member member) {
        loop.submit(() -> enter(member)).syncUninterruptibly();
    }

    /** Further changes are told this much later, in nanoseconds. */
    public void late(long time) {
        loop.execute(() -> lateness = time);
    }

    /** Out of reach, or back: calls fail and watches end. */
    public void outage(boolean on) {
        loop.execute(
                () -> {
                    down = on;
                    callers.values().forEach(caller -> caller.reachableSince = System.nanoTime());
                    if (on) {
                        List.copyOf(watches).forEach(watch -> watch.channel.close());
                    }
                });
    }

    private List<Member> since(long known, long upTo) {
        List<Member> members = new ArrayList<>();
        for (List<Entry> history : entries.values()) {
            Entry last = null;
            for (Entry entry : history) {
                last = entry.rev <= upTo ? entry : last;
            }
            if (last != null && last.rev > known) {
                members.add(last.member);
            }
        }
        return members;
    }

    /** The whole list as a balancer sees it, in discovery's form. */
    public Map<String, Object> list(Map<String, String> endpoints) {
        return loop.submit(() -> json(true, rev, since(0, rev), endpoints))
                .syncUninterruptibly()
                .getNow();
    }

    private Map<String, Object> json(
            boolean all, long upTo, List<Member> members, Map<String, String> endpoints) {
        List<Object> targets = new ArrayList<>();
        for (Member member : members) {
            if (all && member.state() == Member.State.GONE
                    || !endpoints.containsKey(member.uid())) {
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
        list.put("rev", upTo);
        list.put("all", all);
        list.put("targets", targets);
        return list;
    }

    private void answer(Channel channel, Caller caller, boolean all, List<Member> members) {
        long now = System.nanoTime();
        referee.watcher().told(now, caller.balancer, caller.seen);
        caller.told = caller.seen;
        try {
            byte[] body =
                    JSON.std
                            .asString(json(all, caller.seen, members, caller.endpoints))
                            .getBytes(StandardCharsets.UTF_8);
            respond(channel, HttpResponseStatus.OK, body);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        for (Member member : members) {
            referee.told(now, caller.balancer, member.uid(), member.state() == Member.State.READY);
            Long before =
                    knownBoots
                            .computeIfAbsent(caller.balancer, b -> new TreeMap<>())
                            .put(member.uid(), member.bootMs());
            if (member.bootMs() > 0 && (before == null || before != member.bootMs())) {
                referee.toldStart(caller.balancer, member.uid());
            }
        }
    }

    private static void respond(Channel channel, HttpResponseStatus status, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONNECTION, "close");
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** A call that waits for news. */
    private final class Watch {
        final Channel channel;
        private final Caller caller;
        private final long known;
        private Future<?> limit;
        private long until;

        Watch(Channel channel, Caller caller, long known) {
            this.channel = channel;
            this.caller = caller;
            this.known = known;
        }

        void begin(long waitMs) {
            watches.add(this);
            until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
            limit = loop.schedule(this::news, waitMs, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(closed -> end());
            if (caller.seen > known) {
                news();
            }
        }

        void news() {
            end();
            answer(channel, caller, false, since(known, caller.seen));
        }

        void fallSilent(long within) {
            limit.cancel(false);
            long now = System.nanoTime();
            caller.silentUntil =
                    within > 0 ? now + within : Math.max(until + BEHIND_WAIT, now + COUNTS_AS_TOLD);
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
            if (down || caller.cut) {
                respond(ctx.channel(), HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
            } else if (!query.path().equals("/catalog/members")) {
                respond(ctx.channel(), HttpResponseStatus.NOT_FOUND, new byte[0]);
            } else if (query.parameters().containsKey("since")) {
                try {
                    long known = Long.parseLong(query.parameters().get("since").get(0));
                    long wait =
                            Math.min(
                                    MOST_WAIT_MS,
                                    Long.parseLong(
                                            query.parameters()
                                                    .getOrDefault("timeout_ms", List.of("0"))
                                                    .get(0)));
                    new Watch(ctx.channel(), caller, known).begin(wait);
                } catch (NumberFormatException e) {
                    respond(ctx.channel(), HttpResponseStatus.BAD_REQUEST, new byte[0]);
                }
            } else {
                answer(ctx.channel(), caller, true, since(0, caller.seen));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
