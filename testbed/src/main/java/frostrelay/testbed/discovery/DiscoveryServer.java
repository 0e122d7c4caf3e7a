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
 * A simulated discovery service on loopback: the endpoint list and watches for its changes, with
 * injected delays and outages. It listens on a separate port for each balancer and reports all
 * notifications to the invariant checker. Runs on one event loop; public methods may be called from
 * any thread.
 */
public final class DiscoveryServer {
    private static final int MAX_REQUEST_BYTES = 8 * 1024;
    private static final long RETRY_INTERVAL_MILLIS = 100;
    private static final long MAX_WATCH_WAIT_MILLIS = 60_000;

    /**
     * A balancer counts as notified of a change this long after the change was available and
     * discovery was reachable, even without a call.
     */
    private static final long NOTIFICATION_DEADLINE_NANOS = 6_000_000_000L;

    /**
     * A balancer counts as notified of changes missed by a stalled watch no earlier than this after
     * the watch's timeout.
     */
    private static final long MISSED_WATCH_GRACE_NANOS = 2_000_000_000L;

    /** A change of a member, visible from its revision on. */
    private record MemberChange(long revision, Member member) {}

    /** A balancer with its addresses of the caches and the revision that is visible to it. */
    private static final class Subscriber {
        final String balancer;
        final Map<String, String> endpoints;
        long visibleRevision;
        long extraDelayNanos;
        boolean isPartitioned;
        boolean isPinned;

        /** The newest revision sent to the balancer. */
        long sentRevision;

        /** The time from which the balancer could get the newest list. */
        long reachableSinceNanos = System.nanoTime();

        /**
         * The time until which the balancer is not required to know the changes missed by a stalled
         * watch.
         */
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

    /** All changes by cache, the newest last, because some balancers are sent older lists. */
    private final Map<String, List<MemberChange>> history = new TreeMap<>();

    private final Map<String, Subscriber> subscribers = new LinkedHashMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private final Map<String, Map<String, Long>> sentBootTimes = new LinkedHashMap<>();
    private long revision = 1;
    private long delayNanos;
    private boolean isDown;

    /** Creates a server. {@code delayNanos}: nanoseconds from a change until it is visible. */
    public DiscoveryServer(EventLoop loop, InvariantChecker invariantChecker, long delayNanos) {
        this.loop = loop;
        this.invariantChecker = invariantChecker;
        this.delayNanos = delayNanos;
    }

    /**
     * Starts listening for a balancer and returns the address. {@code endpoints}: the addresses of
     * the caches for this balancer, as ADDRESS:PORT by uid.
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

    /** Changes a member; the change becomes visible after the configured delay. */
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
     * Treats a balancer as notified of a change that it could have fetched by now, unless the
     * member has changed again.
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
     * Stalls all open watches: their connections stay open, but receive no response. Balancers
     * count as notified of the missed changes after {@code within} nanoseconds or, if that is 0,
     * after the operators' limit: 6 s, or 2 s after the watch's timeout if that is later.
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

    /**
     * Returns the state and start time of each listed cache at a revision, with the state names of
     * discovery.
     */
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

    /** Passes the current list to the observer. */
    public void publishToObserver() {
        loop.submit(
                        () ->
                                invariantChecker
                                        .observer()
                                        .onListChanged(
                                                System.nanoTime(), revision, states(revision)))
                .syncUninterruptibly();
    }

    /** Partitions a balancer from discovery, so that its calls fail, or ends the partition. */
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

    /** Sets the additional delay of changes for a balancer, in nanoseconds. */
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

    /**
     * Pins a balancer to the revision that is visible to it now, or makes the newest one visible
     * again.
     */
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

    /** Adds a member to the initial list, without delay. */
    public void addInitial(Member member) {
        loop.submit(() -> addRevision(member)).syncUninterruptibly();
    }

    /** Sets the delay of further changes, in nanoseconds. */
    public void setDelay(long time) {
        loop.execute(() -> delayNanos = time);
    }

    /** Starts or ends an outage, in which calls fail and watches are closed. */
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

    /**
     * Returns the complete current list in the format of discovery, with a balancer's addresses of
     * the caches.
     */
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

    /** A long-poll call that waits for a change. */
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
