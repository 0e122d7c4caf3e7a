package frostrelay.node.upstream;

import frostrelay.node.config.CurrentSettings;
import frostrelay.node.config.EndpointList;
import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.memcache.MetaDecoder;
import frostrelay.node.memcache.MetaFrame;
import frostrelay.node.metrics.Counters;
import frostrelay.node.net.Connector;
import frostrelay.node.net.MemoryLimiter;
import frostrelay.node.proxy.Attempt;
import frostrelay.node.proxy.ClientRequest;
import frostrelay.node.proxy.Upstream;
import frostrelay.node.proxy.ValueStream;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Connections to cache hosts, each with one request at a time: never more than a site allows, and
 * an attempt that is given up then costs no other request its connection. Nothing is ever sent
 * again here.
 */
public final class UpstreamConnectionPool implements Upstream {
    /**
     * Part of the hosts' idle time after which a connection is retired: a request that crossed the
     * close would end as a reset, which a write cannot repeat.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.6;

    /**
     * Taken off the drain grace: for the way of the last byte, and for a process that is held up
     * before it writes.
     */
    private static final long DRAIN_GRACE_MARGIN_NANOS =
            100 * Clock.NANOS_PER_MILLISECOND + ActionGuard.MAX_PROCESS_STALL_NANOS;

    /**
     * A host that is gone is known so long: a restart takes 2 to 30 s, and operators' calls may
     * come behind the list's.
     */
    private static final long REMOVED_SERVER_RETENTION_NANOS = 60 * Clock.NANOS_PER_SECOND;

    private static final long NEVER = ActionGuard.NEVER;

    /** Bytes of one read, the most that a paused value leaves waiting. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    /** A cache host and what of it is free. */
    private static final class PooledServer {
        final int number;
        InetSocketAddress endpoint;
        boolean removed;

        /** When the list last named it. */
        long lastListedNanos;

        /** The list's word. */
        boolean listedReady;

        /** No send may start from then on. */
        long sendAllowedUntilNanos = NEVER;

        int connectionCount;
        final Deque<PooledConnection> idleConnections = new ArrayDeque<>();

        PooledServer(int number) {
            this.number = number;
        }
    }

    private final CurrentSettings currentSettings;
    private final Counters counters;
    private int maxConnections;
    private final Listener listener;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Map<Long, PooledServer> pooledServers = new HashMap<>();

    /** All idle connections, the coldest first. */
    private final Set<PooledConnection> idleConnections = new LinkedHashSet<>();

    /** Each connection holds one value at most, so their number bounds this. */
    private final MemoryLimiter memoryLimiter = new MemoryLimiter(Long.MAX_VALUE);

    /** Hosts that operators hold out of use. */
    private Set<Long> drainedServers = Set.of();

    private int connectionCount;

    public UpstreamConnectionPool(
            CurrentSettings currentSettings,
            EventLoop loop,
            Counters counters,
            int maxConnections,
            Listener listener) {
        this.currentSettings = currentSettings;
        this.counters = counters;
        this.maxConnections = maxConnections;
        this.listener = listener;
        this.loop = loop;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(512, 2048, MAX_READ_BYTES));
    }

    /** Applies a list before the module sees it, so that every host it may name is known here. */
    @Override
    public void update(EndpointUpdateMode mode, List<EndpointList.Endpoint> members) {
        if (mode == EndpointUpdateMode.FAILED) {
            return;
        }
        long now = Clock.now();
        Set<PooledServer> unlisted = new LinkedHashSet<>(pooledServers.values());
        for (EndpointList.Endpoint member : members) {
            PooledServer pooledServer =
                    pooledServers.computeIfAbsent(
                            member.server().id(),
                            id -> new PooledServer(listener.serverNumber(member.uid())));
            unlisted.remove(pooledServer);
            if (!member.address().equals(pooledServer.endpoint)) {
                closeIdleConnections(pooledServer);
                pooledServer.endpoint = member.address();
            }
            pooledServer.removed = member.server().state() == EndpointState.REMOVED;
            pooledServer.lastListedNanos = now;
            pooledServer.listedReady = member.server().state() == EndpointState.READY;
            setUsable(
                    pooledServer,
                    pooledServer.listedReady && !drainedServers.contains(member.server().id()),
                    now);
        }
        if (mode != EndpointUpdateMode.DELTA) {
            for (PooledServer pooledServer : unlisted) {
                pooledServer.lastListedNanos =
                        pooledServer.removed ? pooledServer.lastListedNanos : now;
                pooledServer.removed = true;
                pooledServer.listedReady = false;
                setUsable(pooledServer, false, now);
            }
        }
    }

    /** Operators hold these hosts out of use, all of them and no others. */
    @Override
    public void setDrainedServers(Set<Long> serverIds) {
        drainedServers = serverIds;
        long now = Clock.now();
        pooledServers.forEach(
                (id, pooledServer) ->
                        setUsable(
                                pooledServer,
                                pooledServer.listedReady && !drainedServers.contains(id),
                                now));
    }

    @Override
    public boolean isKnown(long serverId) {
        return pooledServers.containsKey(serverId);
    }

    private void setUsable(PooledServer pooledServer, boolean usable, long now) {
        if (usable) {
            pooledServer.sendAllowedUntilNanos = NEVER;
        } else {
            startDraining(pooledServer, now);
        }
    }

    private void startDraining(PooledServer pooledServer, long now) {
        pooledServer.sendAllowedUntilNanos =
                Math.min(
                        pooledServer.sendAllowedUntilNanos,
                        now
                                + Math.max(
                                        0,
                                        currentSettings.get().policySettings.drainGraceNanos()
                                                - DRAIN_GRACE_MARGIN_NANOS));
        closeIdleConnections(pooledServer);
    }

    /** Sends an attempt on the warmest connection, or on a new one where none is free. */
    @Override
    public void send(Attempt attempt, long serverId) {
        PooledServer pooledServer = pooledServers.get(serverId);
        if (pooledServer == null
                || checkMaySend(attempt, pooledServer) != ActionGuard.SendDecision.ALLOWED) {
            listener.onAttemptCompleted(attempt, AttemptResult.SUPERSEDED, null, null);
            return;
        }
        PooledConnection connection = mostRecentlyUsed(pooledServer);
        if (connection != null) {
            connection.leaveIdle();
            connection.attachAttempt(attempt);
            connection.write();
        } else if (connectionCount >= maxConnections && !evictLeastRecentlyUsed()) {
            // No room here is not the host's fault: told as 'not sent', which blames nobody and
            // refuses.
            counters.noConnectionCapacity++;
            listener.onAttemptCompleted(attempt, AttemptResult.SUPERSEDED, null, null);
        } else {
            new PooledConnection(pooledServer).connect(attempt);
        }
    }

    private ActionGuard.SendDecision checkMaySend(Attempt attempt, PooledServer pooledServer) {
        ActionGuard.SendDecision verdict =
                listener.maySend(attempt, pooledServer.sendAllowedUntilNanos);
        if (verdict != ActionGuard.SendDecision.ALLOWED) {
            counters.recordDenial(verdict);
        }
        return verdict;
    }

    /**
     * The idle connection that was used last, or null. One that was idle for too long is not used
     * even if no sweep has seen to it yet, as after a pause of this process: its host may have
     * closed it.
     */
    private PooledConnection mostRecentlyUsed(PooledServer pooledServer) {
        long idleCutoff = idleCutoffNanos();
        PooledConnection connection = pooledServer.idleConnections.peekLast();
        while (connection != null
                && (!connection.channel.isActive() || connection.idleSinceNanos <= idleCutoff)) {
            connection.retire();
            connection = pooledServer.idleConnections.peekLast();
        }
        return connection;
    }

    private long idleCutoffNanos() {
        return Clock.now()
                - (long) (currentSettings.get().idleTimeoutNanos * IDLE_TIMEOUT_FRACTION);
    }

    /** From now on so many connections are held at most; idle ones make room. */
    @Override
    public void setMaxConnections(int newMax) {
        maxConnections = newMax;
        while (connectionCount > maxConnections && evictLeastRecentlyUsed()) {
            // One goes at a time.
        }
    }

    /**
     * Ends the wait for an attempt. One that was written costs its connection, as its answer may
     * still come.
     */
    @Override
    public void abandon(Attempt attempt) {
        PooledConnection connection = (PooledConnection) attempt.connection;
        if (connection != null) {
            connection.detachAttempt();
            if (connection.writeFuture != null) {
                connection.channel.close();
            }
        }
    }

    @Override
    public void closeIdleConnections(long serverId) {
        PooledServer pooledServer = pooledServers.get(serverId);
        if (pooledServer != null) {
            closeIdleConnections(pooledServer);
        }
    }

    private static void closeIdleConnections(PooledServer pooledServer) {
        for (PooledConnection connection : List.copyOf(pooledServer.idleConnections)) {
            connection.retire();
        }
    }

    private boolean evictLeastRecentlyUsed() {
        Iterator<PooledConnection> leastRecentlyUsed = idleConnections.iterator();
        if (!leastRecentlyUsed.hasNext()) {
            return false;
        }
        leastRecentlyUsed.next().retire();
        return true;
    }

    /**
     * Retires connections well before their hosts would, and forgets hosts that are gone for long.
     */
    @Override
    public void sweep() {
        long idleCutoff = idleCutoffNanos();
        for (PooledConnection connection : List.copyOf(idleConnections)) {
            if (connection.idleSinceNanos > idleCutoff) {
                break;
            }
            connection.retire();
        }
        long retentionCutoff = Clock.now() - REMOVED_SERVER_RETENTION_NANOS;
        pooledServers
                .values()
                .removeIf(
                        pooledServer ->
                                pooledServer.removed
                                        && pooledServer.connectionCount == 0
                                        && pooledServer.lastListedNanos < retentionCutoff);
    }

    @Override
    public int connectionCount() {
        return connectionCount;
    }

    @Override
    public void collectGauges(Map<String, Object> gauges) {
        gauges.put("hosts", pooledServers.size());
        gauges.put("links", connectionCount);
        gauges.put("idle", idleConnections.size());
    }

    /**
     * One connection, its states in order: coming up, then idle or carrying an attempt, then
     * closed.
     */
    private final class PooledConnection extends SimpleChannelInboundHandler<Object>
            implements ValueStream.Source, AttemptConnection {
        private final PooledServer pooledServer;
        private final MetaDecoder decoder = MetaDecoder.forResponses(memoryLimiter);
        private Channel channel;
        private Attempt attempt;

        /** The write of the present attempt; done when its last byte has left. */
        private ChannelFuture writeFuture;

        private long idleSinceNanos;

        /** The long value that is coming in; its attempt has ended. */
        private ValueStream valueStream;

        /** Whose answer came on it last; null if that was none, or has come twice. */
        private String lastAnsweredRequestId;

        /** Its answer has come and the read that brought it is not over. */
        private boolean responseReceived;

        private boolean countedAsOpen;

        private PooledConnection(PooledServer pooledServer) {
            this.pooledServer = pooledServer;
        }

        private void connect(Attempt first) {
            attachAttempt(first);
            counters.connects++;
            countedAsOpen = true;
            connectionCount++;
            pooledServer.connectionCount++;
            int timeoutMillis =
                    (int)
                            Math.max(
                                    1,
                                    currentSettings.get().policySettings.connectTimeoutNanos()
                                            / Clock.NANOS_PER_MILLISECOND);
            Bootstrap connectBootstrap =
                    bootstrap
                            .clone()
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                            .handler(
                                    new ChannelInitializer<>() {
                                        @Override
                                        protected void initChannel(Channel fresh) {
                                            fresh.pipeline()
                                                    .addLast(decoder, PooledConnection.this);
                                        }
                                    });
            channel =
                    Connector.connect(
                            connectBootstrap,
                            pooledServer.endpoint,
                            loop,
                            cause -> onConnectionLost());
        }

        private void attachAttempt(Attempt next) {
            attempt = next;
            next.connection = this;
        }

        private void detachAttempt() {
            attempt.connection = null;
            attempt = null;
        }

        @Override
        public boolean isWritten() {
            return writeFuture != null && writeFuture.isSuccess();
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            ActionGuard.SendDecision verdict =
                    attempt == null
                            ? ActionGuard.SendDecision.REQUEST_OVER
                            : checkMaySend(attempt, pooledServer);
            if (attempt != null && verdict != ActionGuard.SendDecision.ALLOWED) {
                // What it was to carry must not begin any more: for a server that has left, another
                // may be tried.
                Attempt supersededAttempt = attempt;
                detachAttempt();
                listener.onAttemptCompleted(
                        supersededAttempt,
                        verdict == ActionGuard.SendDecision.SERVER_UNAVAILABLE
                                ? AttemptResult.CONNECT_FAILED
                                : AttemptResult.SUPERSEDED,
                        null,
                        null);
            }
            if (attempt == null) {
                // Cancelled, cut or denied while the connection came up: nothing is written, the
                // connection is kept.
                goIdle();
            } else {
                write();
            }
        }

        private void write() {
            Attempt written = attempt;
            written.announcedTimeoutMillis =
                    Math.max(
                            1,
                            listener.remainingTimeoutNanos(written) / Clock.NANOS_PER_MILLISECOND);
            ByteBuf bytes =
                    written.activeRequest.clientRequest.encode(
                            channel.alloc(), written.announcedTimeoutMillis);
            listener.onWriteStarted(written, pooledServer.number);
            writeFuture = channel.writeAndFlush(bytes);
            listener.onWritten(written, pooledServer.sendAllowedUntilNanos);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object message) {
            if (message instanceof ByteBuf chunk) {
                if (valueStream != null) {
                    valueStream.addChunk(chunk.retain());
                }
            } else if (valueStream == null) {
                handleResponse((MetaFrame) message);
            } else if (message == MetaFrame.END_OF_VALUE) {
                ValueStream completedValue = valueStream;
                valueStream = null;
                responseReceived = true;
                channel.config().setAutoRead(true);
                completedValue.complete();
            } else {
                // The block does not end where it should.
                channel.close();
                failValue();
            }
        }

        private void failValue() {
            if (valueStream != null) {
                ValueStream failedValue = valueStream;
                valueStream = null;
                failedValue.fail();
            }
        }

        @Override
        public void setDemand(boolean wantsMore) {
            channel.config().setAutoRead(wantsMore);
        }

        @Override
        public void cancel() {
            valueStream = null;
            channel.close();
        }

        private void handleResponse(MetaFrame response) {
            if (attempt == null) {
                // Nobody asked: what follows on this connection cannot be told apart any more.
                retire();
                return;
            }
            if (isDuplicateResponse(response)) {
                return;
            }
            AttemptResult reason = classify(attempt.activeRequest.clientRequest, response);
            boolean isMalformed = reason == null;
            if (isMalformed) {
                counters.warn(
                        "a cache host broke the protocol: "
                                + (response.errorResponse() != null
                                        ? response.errorResponse()
                                        : response.tokens()));
            }
            completeAttempt(
                    isMalformed ? AttemptResult.ERROR : reason,
                    response,
                    isMalformed || !isWritten());
        }

        /**
         * A connection is free only once all that came has been read and nothing came behind the
         * answer: noise there, whole or in part, would be taken for the answer to the next request.
         * Likewise any byte on an idle connection ends it.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (attempt != null || valueStream != null) {
                return;
            }
            if (!decoder.isAtFrameBoundary()) {
                retire();
            } else if (responseReceived) {
                responseReceived = false;
                goIdle();
            }
        }

        /**
         * Whether this is the answer before once more, come late: guards against a write that
         * fails, and may not be repeated, for what another request was answered twice. Only once,
         * and never for a request that goes by the same id.
         */
        private boolean isDuplicateResponse(MetaFrame response) {
            String id = response.streamed() ? null : opaque(response);
            boolean isDuplicate =
                    id != null
                            && id.equals(lastAnsweredRequestId)
                            && !id.equals(attempt.activeRequest.clientRequest.id());
            lastAnsweredRequestId = isDuplicate ? null : lastAnsweredRequestId;
            return isDuplicate;
        }

        private static String opaque(MetaFrame response) {
            return response.flagToken(response.tokenEquals(0, "VA") ? 2 : 1, 'O');
        }

        /** What an answer means; null for what the protocol does not allow. */
        private static AttemptResult classify(ClientRequest clientRequest, MetaFrame response) {
            if (response.errorResponse() != null) {
                return null;
            }
            if (response.tokenEquals(0, "SERVER_ERROR")) {
                return response.tokenEquals(1, "busy")
                        ? AttemptResult.REJECTED
                        : response.tokenEquals(1, "failed") ? AttemptResult.ERROR : null;
            }
            boolean hasExpectedType =
                    clientRequest.isWrite()
                            ? response.tokenEquals(0, "HD") && response.receipt() != null
                            : response.tokenEquals(0, "VA");
            return hasExpectedType && clientRequest.id().equals(opaque(response))
                    ? AttemptResult.OK
                    : null;
        }

        private void completeAttempt(
                AttemptResult reason, MetaFrame response, boolean shouldClose) {
            Attempt completedAttempt = attempt;
            detachAttempt();
            writeFuture = null;
            lastAnsweredRequestId =
                    reason == AttemptResult.OK
                            ? completedAttempt.activeRequest.clientRequest.id()
                            : null;
            if (!shouldClose && response.streamed()) {
                valueStream = new ValueStream(this);
            } else {
                responseReceived = !shouldClose;
            }
            if (shouldClose) {
                channel.close();
            }
            listener.onAttemptCompleted(completedAttempt, reason, response, valueStream);
        }

        private void goIdle() {
            if (pooledServer.sendAllowedUntilNanos != NEVER || !channel.isActive()) {
                channel.close();
                return;
            }
            idleSinceNanos = Clock.now();
            pooledServer.idleConnections.addLast(this);
            idleConnections.add(this);
        }

        private void leaveIdle() {
            pooledServer.idleConnections.remove(this);
            idleConnections.remove(this);
        }

        private void retire() {
            responseReceived = false;
            leaveIdle();
            decrementConnectionCounts();
            channel.close();
        }

        /** Gives its place free once, as soon as its end is sure. */
        private void decrementConnectionCounts() {
            if (countedAsOpen) {
                countedAsOpen = false;
                connectionCount--;
                pooledServer.connectionCount--;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onConnectionLost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                counters.logUnexpected("on a connection to a cache host", cause);
            }
            ctx.close();
        }

        private void onConnectionLost() {
            leaveIdle();
            decrementConnectionCounts();
            failValue();
            if (attempt != null) {
                // Before its last byte has left a request cannot run; after that it may have.
                AttemptResult reason =
                        isWritten() ? AttemptResult.RESET : AttemptResult.CONNECT_FAILED;
                Attempt completedAttempt = attempt;
                detachAttempt();
                listener.onAttemptCompleted(completedAttempt, reason, null, null);
            }
        }
    }
}
