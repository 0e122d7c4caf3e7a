package frostrelay.testbed.discovery;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.testbed.invariants.InvariantChecker;
import frostrelay.testbed.wire.Loopback;

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
    private static final int MAX_REQUEST_BYTES = 8 * 1024;
    private static final long RETRY_INTERVAL_MILLIS = 100;
    private static final long MAX_WATCH_WAIT_MILLIS = 60_000;

    /**
     * So long after discovery had it and could be reached a change counts as told, whether a
     * balancer asked or not.
     */
    private static final long NOTIFICATION_DEADLINE_NANOS = 6_000_000_000L;

    /**
     * What a watch that fell silent missed counts no sooner than this behind the end of its wait.
     */
    private static final long MISSED_WATCH_GRACE_NANOS = 2_000_000_000L;

    /** A change as it was entered, visible from its version on. */
    private record MemberChange(long revision, Member member) {}

    /** One balancer's calls: where the caches are from there, and how far it is told. */
    private static final class Subscriber {
        final String balancer;
        final Map<String, String> endpoints;
        long visibleRevision;
        long extraDelayNanos;
        boolean isPartitioned;
        boolean isPinned;

        /** The newest version that was written to it. */
        long sentRevision;

        /** Since when nothing keeps it from the newest list. */
        long reachableSinceNanos = System.nanoTime();

        /** Until then it need not know what a watch that fell silent missed. */
        long unresponsiveUntilNanos = System.nanoTime();

        boolean isImpaired() {
            return isPartitioned || isPinned || extraDelayNanos > 0;
        }

        Subscriber(String balancer, Map<String, String> endpoints, long visibleRevision) {
            this.balancer = balancer;
            this.endpoints = Map.copyOf(endpoints);
            this.visibleRevision = visibleRevision;
        }
    }

    private final EventLoop loop;
    private final InvariantChecker invariantChecker;

    /** What was ever entered of each cache, the newest last: some are told older lists. */
    private final Map<String, List<MemberChange>> history = new TreeMap<>();

    private final Map<String, Subscriber> subscribers = new LinkedHashMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private final Map<String, Map<String, Long>> sentBootTimes = new LinkedHashMap<>();
    private long revision = 1;
    private long delayNanos;
    private boolean isDown;

    /** {@code delayNanos}: nanoseconds from a change to the moment at which it can be told. */
    public DiscoveryServer(EventLoop loop, InvariantChecker invariantChecker, long delayNanos) {
        this.loop = loop;
        this.invariantChecker = invariantChecker;
        this.delayNanos = delayNanos;
    }

    /**
     * Listens for one balancer, for which the caches are at {@code endpoints}, ADDRESS:PORT by uid.
     */
    public InetSocketAddress listen(String balancer, Map<String, String> endpoints)
            throws InterruptedException {
        Subscriber caller =
                loop.submit(
                                () ->
                                        subscribers.computeIfAbsent(
                                                balancer,
                                                name -> new Subscriber(name, endpoints, revision)))
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
                                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                                        new RequestHandler(caller));
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
                                    revision++;
                                    addRevision(member);
                                    invariantChecker
                                            .observer()
                                            .onListChanged(
                                                    System.nanoTime(), revision, states(revision));
                                    long fresh = revision;
                                    for (Subscriber caller : subscribers.values()) {
                                        if (caller.extraDelayNanos > 0) {
                                            loop.schedule(
                                                    () -> makeVisible(caller, fresh),
                                                    caller.extraDelayNanos,
                                                    TimeUnit.NANOSECONDS);
                                        } else {
                                            makeVisible(caller, fresh);
                                        }
                                        loop.schedule(
                                                () -> bindUnlessNotified(caller, fresh, member),
                                                NOTIFICATION_DEADLINE_NANOS,
                                                TimeUnit.NANOSECONDS);
                                    }
                                },
                                delayNanos,
                                TimeUnit.NANOSECONDS));
    }

    /**
     * What a balancer could have asked for by now binds it as though it had been told, unless that
     * has changed again.
     */
    private void bindUnlessNotified(Subscriber caller, long fresh, Member member) {
        List<MemberChange> revisions = history.get(member.uid());
        if (caller.sentRevision >= fresh || revisions.get(revisions.size() - 1).revision != fresh) {
            return;
        }
        long now = System.nanoTime();
        long left =
                Math.max(
                                caller.reachableSinceNanos + NOTIFICATION_DEADLINE_NANOS,
                                caller.unresponsiveUntilNanos)
                        - now;
        if (isDown || caller.isImpaired() || left > 0) {
            loop.schedule(
                    () -> bindUnlessNotified(caller, fresh, member),
                    Math.max(left, RETRY_INTERVAL_MILLIS * 1_000_000),
                    TimeUnit.NANOSECONDS);
        } else {
            invariantChecker.onNotified(
                    now, caller.balancer, member.uid(), member.state() == Member.State.READY);
        }
    }

    /**
     * All open watches fall silent: their connections stay open, and nothing comes on them any
     * more. What they miss binds after {@code within} nanoseconds; if that is 0, by the operators'
     * page: 6 s, or 2 s behind the wait if that is later.
     */
    public void stallWatches(long within) {
        loop.execute(
                () -> {
                    watches.forEach(watch -> watch.stall(within));
                    watches.clear();
                });
    }

    private void addRevision(Member member) {
        history.computeIfAbsent(member.uid(), uid -> new ArrayList<>())
                .add(new MemberChange(revision, member));
    }

    private void makeVisible(Subscriber caller, long fresh) {
        if (caller.isPinned || fresh <= caller.visibleRevision) {
            return;
        }
        caller.visibleRevision = fresh;
        for (Watch watch : List.copyOf(watches)) {
            if (watch.caller == caller) {
                watch.complete();
            }
        }
    }

    /** What the list of a version says of each cache that it names, in discovery's words. */
    private Map<String, String> states(long maxRevision) {
        Map<String, String> states = new LinkedHashMap<>();
        changedSince(0, maxRevision).stream()
                .filter(member -> member.state() != Member.State.GONE)
                .forEach(
                        member ->
                                states.put(
                                        member.uid(),
                                        member.state().wireName + '|' + member.bootUnixMillis()));
        return states;
    }

    /** Tells the watcher how the list stands. */
    public void publishToObserver() {
        loop.submit(
                        () ->
                                invariantChecker
                                        .observer()
                                        .onListChanged(
                                                System.nanoTime(), revision, states(revision)))
                .syncUninterruptibly();
    }

    /** One balancer can or cannot reach discovery: its calls break. */
    public void setPartitioned(String balancer, boolean isActive) {
        loop.execute(
                () -> {
                    Subscriber caller = subscribers.get(balancer);
                    caller.isPartitioned = isActive;
                    caller.reachableSinceNanos = System.nanoTime();
                    if (isActive) {
                        List.copyOf(watches).stream()
                                .filter(watch -> watch.caller == caller)
                                .forEach(watch -> watch.channel.close());
                    }
                });
    }

    /** One balancer is told of changes this much later than others, in nanoseconds. */
    public void setDelay(String balancer, long time) {
        loop.execute(
                () -> {
                    Subscriber caller = subscribers.get(balancer);
                    caller.extraDelayNanos = time;
                    caller.reachableSinceNanos = System.nanoTime();
                    if (time == 0) {
                        makeVisible(caller, revision);
                    }
                });
    }

    /** One balancer is told nothing newer than what it was told last, or all of it again. */
    public void setPinned(String balancer, boolean isActive) {
        loop.execute(
                () -> {
                    Subscriber caller = subscribers.get(balancer);
                    caller.isPinned = isActive;
                    caller.reachableSinceNanos = System.nanoTime();
                    if (!isActive) {
                        makeVisible(caller, revision);
                    }
                });
    }

    /** What is so before anything begins: it is not late. */
    public void addInitial(Member member) {
        loop.submit(() -> addRevision(member)).syncUninterruptibly();
    }

    /** Further changes are told this much later, in nanoseconds. */
    public void setDelay(long time) {
        loop.execute(() -> delayNanos = time);
    }

    /** Out of reach, or back: calls fail and watches end. */
    public void setOutage(boolean isActive) {
        loop.execute(
                () -> {
                    isDown = isActive;
                    subscribers
                            .values()
                            .forEach(caller -> caller.reachableSinceNanos = System.nanoTime());
                    if (isActive) {
                        List.copyOf(watches).forEach(watch -> watch.channel.close());
                    }
                });
    }

    private List<Member> changedSince(long known, long maxRevision) {
        List<Member> members = new ArrayList<>();
        for (List<MemberChange> revisions : history.values()) {
            MemberChange last = null;
            for (MemberChange entry : revisions) {
                last = entry.revision <= maxRevision ? entry : last;
            }
            if (last != null && last.revision > known) {
                members.add(last.member);
            }
        }
        return members;
    }

    /** The whole list as a balancer sees it, in discovery's form. */
    public Map<String, Object> endpointList(Map<String, String> endpoints) {
        return loop.submit(() -> json(true, revision, changedSince(0, revision), endpoints))
                .syncUninterruptibly()
                .getNow();
    }

    private Map<String, Object> json(
            boolean all, long maxRevision, List<Member> members, Map<String, String> endpoints) {
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
            target.put("state", member.state().wireName);
            target.put("capacity_hint", 1.0);
            target.put("boot_ms", member.bootUnixMillis());
            targets.add(target);
        }
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("rev", maxRevision);
        list.put("all", all);
        list.put("targets", targets);
        return list;
    }

    private void sendList(Channel channel, Subscriber caller, boolean all, List<Member> members) {
        long now = System.nanoTime();
        invariantChecker.observer().onNotified(now, caller.balancer, caller.visibleRevision);
        caller.sentRevision = caller.visibleRevision;
        try {
            byte[] body =
                    JSON.std
                            .asString(json(all, caller.visibleRevision, members, caller.endpoints))
                            .getBytes(StandardCharsets.UTF_8);
            respond(channel, HttpResponseStatus.OK, body);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        for (Member member : members) {
            invariantChecker.onNotified(
                    now, caller.balancer, member.uid(), member.state() == Member.State.READY);
            Long before =
                    sentBootTimes
                            .computeIfAbsent(caller.balancer, b -> new TreeMap<>())
                            .put(member.uid(), member.bootUnixMillis());
            if (member.bootUnixMillis() > 0
                    && (before == null || before != member.bootUnixMillis())) {
                invariantChecker.onStartNotified(caller.balancer, member.uid());
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
        private final Subscriber caller;
        private final long knownRevision;
        private Future<?> timeoutTask;
        private long untilNanos;

        Watch(Channel channel, Subscriber caller, long knownRevision) {
            this.channel = channel;
            this.caller = caller;
            this.knownRevision = knownRevision;
        }

        void begin(long waitMs) {
            watches.add(this);
            untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
            timeoutTask = loop.schedule(this::complete, waitMs, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(closed -> end());
            if (caller.visibleRevision > knownRevision) {
                complete();
            }
        }

        void complete() {
            end();
            sendList(channel, caller, false, changedSince(knownRevision, caller.visibleRevision));
        }

        void stall(long within) {
            timeoutTask.cancel(false);
            long now = System.nanoTime();
            caller.unresponsiveUntilNanos =
                    within > 0
                            ? now + within
                            : Math.max(
                                    untilNanos + MISSED_WATCH_GRACE_NANOS,
                                    now + NOTIFICATION_DEADLINE_NANOS);
        }

        private void end() {
            watches.remove(this);
            timeoutTask.cancel(false);
        }
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Subscriber caller;

        RequestHandler(Subscriber caller) {
            this.caller = caller;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (isDown || caller.isPartitioned) {
                respond(ctx.channel(), HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
            } else if (!query.path().equals("/catalog/members")) {
                respond(ctx.channel(), HttpResponseStatus.NOT_FOUND, new byte[0]);
            } else if (query.parameters().containsKey("since")) {
                try {
                    long known = Long.parseLong(query.parameters().get("since").get(0));
                    long wait =
                            Math.min(
                                    MAX_WATCH_WAIT_MILLIS,
                                    Long.parseLong(
                                            query.parameters()
                                                    .getOrDefault("timeout_ms", List.of("0"))
                                                    .get(0)));
                    new Watch(ctx.channel(), caller, known).begin(wait);
                } catch (NumberFormatException e) {
                    respond(ctx.channel(), HttpResponseStatus.BAD_REQUEST, new byte[0]);
                }
            } else {
                sendList(ctx.channel(), caller, true, changedSince(0, caller.visibleRevision));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
