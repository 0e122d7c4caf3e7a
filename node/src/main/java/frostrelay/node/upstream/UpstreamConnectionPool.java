package frostrelay.node.upstream;

import frostrelay.node.config.CurrentSettings;
import frostrelay.node.config.EndpointList;
import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.metrics.Counters;
import frostrelay.node.net.MemoryAccount;
import frostrelay.node.net.MemoryLimiter;
import frostrelay.node.net.ReadSizeLimit;
import frostrelay.node.net.TrafficMemory;
import frostrelay.node.proxy.Attempt;
import frostrelay.node.proxy.Upstream;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A pool of connections to all cache servers. Each connection carries one request at a time, so
 * that closing it for an abandoned attempt affects no other request. The number of connections is
 * limited by the deployment. Runs on the event loop.
 */
public final class UpstreamConnectionPool implements Upstream {
    /**
     * The fraction of the servers' idle timeout after which a connection is retired. A request sent
     * while the server closes the connection would end with a reset, after which a write cannot be
     * retried.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.6;

    /**
     * Subtracted from the drain grace for the network delay of the last byte and for a stall of
     * this process before the write.
     */
    private static final long DRAIN_GRACE_MARGIN_NANOS =
            100 * Clock.NANOS_PER_MILLISECOND + ActionGuard.MAX_PROCESS_STALL_NANOS;

    /**
     * The time for which a removed server stays known: a restart takes 2 to 30 s, and an operator's
     * command for a server may arrive after the endpoint list that no longer contains it.
     */
    private static final long REMOVED_SERVER_RETENTION_NANOS = 60 * Clock.NANOS_PER_SECOND;

    private static final int MAX_READS_PER_ITERATION = 16;

    /**
     * A read takes at most the free memory divided by this, because bytes may be left undecoded on
     * many connections at once.
     */
    private static final int READ_DIVISOR = 64;

    private final CurrentSettings currentSettings;
    private final Counters counters;
    private final Listener listener;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final ConnectionLimit limit;
    private final Map<Long, PooledServer> pooledServers = new HashMap<>();

    private final MemoryLimiter responseMemory;
    private final MemoryLimiter writeMemory;

    /** Requests that the servers' sockets have not accepted yet, of all connections. */
    private final MemoryAccount writes;

    /** Received bytes that are no part of a response yet, of all connections. */
    private final MemoryAccount undecodedBytes;

    /** Connections whose responses wait for memory, the longest waiting first. */
    private final Set<IncomingResponseMemory> awaitingMemory = new LinkedHashSet<>();

    private boolean resumeScheduled;

    /** The servers that are drained in addition to those drained by the endpoint list. */
    private Set<Long> drainedServers = Set.of();

    /**
     * Creates an empty pool, which opens no connection before the first send.
     *
     * @param maxConnections the limit on connections to all servers together
     * @param memory the memory for requests being written and for the servers' responses
     */
    public UpstreamConnectionPool(
            CurrentSettings currentSettings,
            EventLoop loop,
            Counters counters,
            int maxConnections,
            TrafficMemory memory,
            Listener listener) {
        this.currentSettings = currentSettings;
        this.counters = counters;
        this.limit = new ConnectionLimit(maxConnections);
        this.listener = listener;
        this.loop = loop;
        this.responseMemory = memory.responses();
        this.writeMemory = memory.outputBuffers();
        this.writes = new MemoryAccount(writeMemory);
        this.undecodedBytes = new MemoryAccount(responseMemory);
        responseMemory.setReleaseListener(this::scheduleResume);
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new ReadSizeLimit(
                                        MAX_READS_PER_ITERATION, false, this::readRoomBytes));
    }

    private int readRoomBytes() {
        long roomBytes = responseMemory.freeBytes() / READ_DIVISOR;
        return (int) Math.max(0, Math.min(ReadSizeLimit.MAX_READ_BYTES, roomBytes));
    }

    /** Registers a connection whose response waits for memory. */
    void awaitMemory(IncomingResponseMemory memory) {
        awaitingMemory.add(memory);
        counters.responsesDelayed++;
    }

    void stopAwaitingMemory(IncomingResponseMemory memory) {
        awaitingMemory.remove(memory);
    }

    private void scheduleResume() {
        if (!awaitingMemory.isEmpty() && !resumeScheduled) {
            resumeScheduled = true;
            loop.execute(this::resumeAwaiting);
        }
    }

    private void resumeAwaiting() {
        resumeScheduled = false;
        for (IncomingResponseMemory memory : List.copyOf(awaitingMemory)) {
            memory.tryResume();
        }
    }

    @Override
    public void update(EndpointUpdateMode mode, List<EndpointList.Endpoint> members) {
        if (mode == EndpointUpdateMode.FAILED) {
            return;
        }
        long now = Clock.now();
        Set<PooledServer> unlisted = new LinkedHashSet<>(pooledServers.values());
        for (EndpointList.Endpoint member : members) {
            unlisted.remove(updateServer(member, now));
        }
        if (mode != EndpointUpdateMode.DELTA) {
            for (PooledServer pooledServer : unlisted) {
                markRemoved(pooledServer, now);
            }
        }
    }

    private PooledServer updateServer(EndpointList.Endpoint member, long now) {
        long serverId = member.server().id();
        PooledServer pooledServer =
                pooledServers.computeIfAbsent(
                        serverId, id -> new PooledServer(listener.serverNumber(member.uid())));
        if (!member.address().equals(pooledServer.endpoint)) {
            pooledServer.closeIdleConnections();
            pooledServer.endpoint = member.address();
        }
        pooledServer.removed = member.server().state() == EndpointState.REMOVED;
        pooledServer.lastListedNanos = now;
        pooledServer.listedReady = member.server().state() == EndpointState.READY;
        updateUsable(pooledServer, serverId, now);
        return pooledServer;
    }

    private void markRemoved(PooledServer pooledServer, long now) {
        pooledServer.lastListedNanos = pooledServer.removed ? pooledServer.lastListedNanos : now;
        pooledServer.removed = true;
        pooledServer.listedReady = false;
        startDraining(pooledServer, now);
    }

    @Override
    public void setDrainedServers(Set<Long> serverIds) {
        drainedServers = serverIds;
        long now = Clock.now();
        pooledServers.forEach((id, pooledServer) -> updateUsable(pooledServer, id, now));
    }

    @Override
    public boolean isKnown(long serverId) {
        return pooledServers.containsKey(serverId);
    }

    private void updateUsable(PooledServer pooledServer, long serverId, long now) {
        if (pooledServer.listedReady && !drainedServers.contains(serverId)) {
            pooledServer.sendAllowedUntilNanos = ActionGuard.NEVER;
        } else {
            startDraining(pooledServer, now);
        }
    }

    private void startDraining(PooledServer pooledServer, long now) {
        long graceNanos =
                Math.max(
                        0,
                        currentSettings.get().policySettings.drainGraceNanos()
                                - DRAIN_GRACE_MARGIN_NANOS);
        // A server that is drained for a second reason keeps the earlier time limit.
        pooledServer.sendAllowedUntilNanos =
                Math.min(pooledServer.sendAllowedUntilNanos, now + graceNanos);
        pooledServer.closeIdleConnections();
    }

    /** Sends an attempt on the most recently used idle connection, or on a new one. */
    @Override
    public void send(Attempt attempt, long serverId) {
        PooledServer pooledServer = pooledServers.get(serverId);
        if (pooledServer == null
                || checkMaySend(attempt, pooledServer) != ActionGuard.SendDecision.ALLOWED) {
            listener.onAttemptCompleted(attempt, AttemptResult.SUPERSEDED, null, null);
            return;
        }
        UpstreamConnection connection = mostRecentlyUsed(pooledServer);
        if (connection != null) {
            connection.sendNow(attempt);
        } else if (!hasCapacityFor(attempt)) {
            // A lack of connections or memory is not the server's fault. SUPERSEDED means that the
            // attempt
            // was not sent: it does not count against the server, and the request is rejected.
            counters.noConnectionCapacity++;
            listener.onAttemptCompleted(attempt, AttemptResult.SUPERSEDED, null, null);
        } else {
            new UpstreamConnection(this, pooledServer).connect(attempt, bootstrap, loop);
        }
    }

    private boolean hasCapacityFor(Attempt attempt) {
        return attempt.activeRequest.clientRequest.sizeBytes() <= writeMemory.freeBytes()
                && limit.ensureCapacity();
    }

    /**
     * Returns the guard's decision on whether an attempt may be written now, and counts a denial.
     */
    ActionGuard.SendDecision checkMaySend(Attempt attempt, PooledServer pooledServer) {
        ActionGuard.SendDecision decision =
                listener.maySend(attempt, pooledServer.sendAllowedUntilNanos);
        if (decision != ActionGuard.SendDecision.ALLOWED) {
            counters.recordDenial(decision);
        }
        return decision;
    }

    /**
     * Returns the most recently used idle connection, or null. Retires connections that have been
     * idle for too long but that the sweep has not retired yet, for example after a pause of this
     * process, because their servers may have closed them.
     */
    private UpstreamConnection mostRecentlyUsed(PooledServer pooledServer) {
        long idleCutoff = idleCutoffNanos();
        UpstreamConnection connection = pooledServer.idleConnections.peekLast();
        while (connection != null && !connection.isReusable(idleCutoff)) {
            connection.retire();
            connection = pooledServer.idleConnections.peekLast();
        }
        return connection;
    }

    private long idleCutoffNanos() {
        return Clock.now()
                - (long) (currentSettings.get().idleTimeoutNanos * IDLE_TIMEOUT_FRACTION);
    }

    @Override
    public void setMaxConnections(int newMax) {
        limit.setMaxConnections(newMax);
    }

    /**
     * Stops waiting for an attempt. If the attempt was written, its connection is closed, because
     * the response may still arrive.
     */
    @Override
    public void abandon(Attempt attempt) {
        UpstreamConnection connection = (UpstreamConnection) attempt.connection;
        if (connection != null) {
            connection.abandonAttempt();
        }
    }

    @Override
    public void closeIdleConnections(long serverId) {
        PooledServer pooledServer = pooledServers.get(serverId);
        if (pooledServer != null) {
            pooledServer.closeIdleConnections();
        }
    }

    /**
     * Retires connections well before their servers would close them, and drops servers whose
     * retention after removal has ended.
     */
    @Override
    public void sweep() {
        limit.retireIdleSince(idleCutoffNanos());
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
        return limit.connectionCount();
    }

    @Override
    public void collectGauges(Map<String, Object> gauges) {
        gauges.put("hosts", pooledServers.size());
        gauges.put("links", limit.connectionCount());
        gauges.put("idle", limit.idleCount());
        gauges.put("awaiting-memory", awaitingMemory.size());
    }

    ConnectionLimit limit() {
        return limit;
    }

    Listener listener() {
        return listener;
    }

    Counters counters() {
        return counters;
    }

    MemoryAccount writes() {
        return writes;
    }

    MemoryAccount undecodedBytes() {
        return undecodedBytes;
    }

    /** Returns the connect timeout from the settings, at least 1 ms. */
    int connectTimeoutMillis() {
        long timeoutNanos = currentSettings.get().policySettings.connectTimeoutNanos();
        return (int) Math.max(1, timeoutNanos / Clock.NANOS_PER_MILLISECOND);
    }
}
