package frostrelay.emulator;

import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.ResponseSource;
import frostrelay.policy.api.Server;

import org.agrona.collections.Long2LongHashMap;
import org.agrona.collections.Long2ObjectHashMap;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * A simulated balancer: the real decision module with a table of open requests, as in the real
 * balancer. Its single core takes a fixed time for each event; later events queue.
 */
final class SimBalancer implements PolicyActions, SimDiscovery.Subscriber {
    /** Creates the decision module. */
    interface RouterFactory {
        PolicyEvents create(PolicySettings settings, long seed, PolicyActions actions);
    }

    /** A client's request, which receives exactly one final answer. */
    interface IncomingRequest {
        Request createRequest(long id, long deadlineNanos);

        long timeoutNanos();

        int key();

        /** Returns the work in nanoseconds of a cache core. */
        double workNanos();

        boolean isWrite();

        /** Notifies that a cache executed the request. */
        void onExecuted(long now);

        /** Delivers the final answer; {@code retryAfterNanos} is the wait after a rejection. */
        void onAnswer(long now, Answer answer, long retryAfterNanos);
    }

    /** A final answer; LOST if the balancer was killed with the request open. */
    enum Answer {
        SERVED,
        REJECTED,
        FAILED,
        LOST
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NETWORK_MARGIN_NANOS = 6 * NANOS_PER_MILLI;
    private static final float[] NO_REPORT = {};
    private static final int NO_CONNECTION = -1;

    private static final class Exchange {
        final long id;
        final IncomingRequest incomingRequest;
        final long deadlineNanos;
        final List<Attempt> attempts = new ArrayList<>(2);
        int pendingAttempts;
        boolean isCompleted;

        /** Timer that ends the request after its deadline. */
        long deadlineTimer = Timeline.NO_TIMER;

        Exchange(long id, IncomingRequest incomingRequest, long deadlineNanos) {
            this.id = id;
            this.incomingRequest = incomingRequest;
            this.deadlineNanos = deadlineNanos;
        }
    }

    private final class Attempt implements SimCache.Job {
        final Exchange exchange;
        final int number;
        final long sentAtNanos;
        final int startIncarnation = incarnation;
        boolean isCompleted;
        long timeoutTimer = Timeline.NO_TIMER;
        ResponseSource source = ResponseSource.UNKNOWN;
        int cacheIndex;

        /**
         * Incarnation of the cache at which the connection was established; {@link #NO_CONNECTION}
         * without one.
         */
        int connectionIncarnation = NO_CONNECTION;

        /** The first attempt on a connection also carries the work of the handshake. */
        boolean isFirstOnConnection;

        /** Set once the attempt has been sent and so may be executed. */
        boolean isSent;

        boolean isIntendedCache = true;

        Attempt(Exchange exchange, int number, long sentAtNanos) {
            this.exchange = exchange;
            this.number = number;
            this.sentAtNanos = sentAtNanos;
        }

        @Override
        public int key() {
            return exchange.incomingRequest.key();
        }

        @Override
        public double workNanos() {
            return exchange.incomingRequest.workNanos()
                    + (isFirstOnConnection ? connectionSpec.handshakeWorkNanos() : 0);
        }

        @Override
        public boolean isWrite() {
            return exchange.incomingRequest.isWrite();
        }

        @Override
        public boolean isIntendedCache() {
            return isIntendedCache;
        }

        @Override
        public boolean isCancelled() {
            return isCompleted || startIncarnation != incarnation;
        }

        @Override
        public void onExecuted(long now) {
            exchange.incomingRequest.onExecuted(now);
        }

        @Override
        public void onCompleted(long now, SimCache.Outcome outcome) {
            AttemptResult reason =
                    switch (outcome) {
                        case SERVED, HIT, FETCHED -> AttemptResult.OK;
                        case FAILED -> AttemptResult.ERROR;
                        case REJECTED -> AttemptResult.REJECTED;
                        case CONNECTION_REFUSED -> AttemptResult.CONNECT_FAILED;
                        case RESET -> AttemptResult.RESET;
                    };
            source =
                    switch (outcome) {
                        case HIT -> ResponseSource.CACHE;
                        case FETCHED -> ResponseSource.ORIGIN;
                        default -> ResponseSource.UNKNOWN;
                    };
            if (!networkDelays.isResponseLost()
                    && networkDelays.isConnected(zone, zone(cacheIndex))) {
                timeline.schedule(
                        now + networkDelays.sampleDelayNanos(zone(cacheIndex), zone),
                        then ->
                                runOnCore(
                                        then,
                                        at -> SimBalancer.this.completeAttempt(at, this, reason)));
            }
        }
    }

    private final SystemModel.Balancer spec;
    private final SystemModel.Connections connectionSpec;
    private final Timeline timeline;
    private final NetworkDelays networkDelays;
    private final SimDiscovery discovery;

    /** The cache that currently answers at the address of each cache index. */
    private final List<SimCache> cacheAtAddress;

    private final Long2LongHashMap indexByServerId;
    private final RouterFactory routerFactory;
    private final PolicySettings settings;
    private final int zone;
    private final int zoneCount;
    private final long seed;
    private final Long2ObjectHashMap<Exchange> exchanges = new Long2ObjectHashMap<>();

    /** Caches that messages from this balancer do not reach. */
    private final BitSet partitionedCaches = new BitSet();

    private final SimInvariantChecker invariantChecker;

    /** Null if connections are not modelled. */
    private final SimConnectionPool connections;

    /**
     * Time at which this balancer learned that a cache drains or was removed; 0 for other caches.
     */
    private final long[] drainingSinceNanos;

    private Set<Long> adminDrainedServers = Set.of();
    private PolicyEvents router;
    private int incarnation;
    private boolean isDown;
    private boolean isShuttingDown;
    private long coreFreeAtNanos;
    private long lastRequestId;
    private long now;
    private long attemptsSent;
    private long additionalAttempts;
    private long servedRequests;

    /** Creates a started balancer; {@code seed} seeds its decision module. */
    SimBalancer(
            SystemModel model,
            Timeline timeline,
            NetworkDelays networkDelays,
            SimDiscovery discovery,
            List<SimCache> cacheAtAddress,
            Long2LongHashMap indexByServerId,
            RouterFactory routerFactory,
            PolicySettings settings,
            SimInvariantChecker invariantChecker,
            long seed) {
        this.invariantChecker = invariantChecker;
        this.drainingSinceNanos = new long[cacheAtAddress.size()];
        this.spec = model.balancer();
        this.connectionSpec = model.connections();
        this.zoneCount = model.zoneCount();
        this.zone = settings.zone();
        this.timeline = timeline;
        this.networkDelays = networkDelays;
        this.discovery = discovery;
        this.cacheAtAddress = cacheAtAddress;
        this.indexByServerId = indexByServerId;
        this.routerFactory = routerFactory;
        this.settings = settings;
        this.seed = seed;
        connections =
                connectionSpec.isModelled()
                        ? new SimConnectionPool(connectionSpec, cacheAtAddress)
                        : null;
        start(0);
    }

    private int zone(int cacheIndex) {
        return cacheIndex % zoneCount;
    }

    /** Starts with a new decision module and the cached endpoint list. */
    void start(long at) {
        isDown = false;
        isShuttingDown = false;
        now = at;
        router = routerFactory.create(settings, seed + incarnation, this);
        router.onAdminDrains(at, adminDrainedServers);
        List<Server> list = discovery.currentServers();
        recordDrainStates(at, EndpointUpdateMode.CACHED, list);
        router.onEndpointUpdate(at, EndpointUpdateMode.CACHED, list);
    }

    private void recordDrainStates(long at, EndpointUpdateMode mode, List<Server> servers) {
        if (mode != EndpointUpdateMode.FAILED) {
            for (Server server : servers) {
                setDraining(
                        (int) indexByServerId.get(server.id()),
                        at,
                        server.state() != EndpointState.READY
                                || adminDrainedServers.contains(server.id()));
            }
        }
    }

    private void setDraining(int cacheIndex, long at, boolean isDraining) {
        drainingSinceNanos[cacheIndex] =
                !isDraining
                        ? 0
                        : drainingSinceNanos[cacheIndex] == 0
                                ? Math.max(1, at)
                                : drainingSinceNanos[cacheIndex];
    }

    /** Replaces the set of administratively drained caches. */
    void applyAdminDrains(long at, Set<Long> serverIds) {
        adminDrainedServers.forEach(
                id ->
                        setDraining(
                                (int) indexByServerId.get((long) id), at, serverIds.contains(id)));
        serverIds.forEach(id -> setDraining((int) indexByServerId.get((long) id), at, true));
        adminDrainedServers = Set.copyOf(serverIds);
        if (!isDown) {
            now = at;
            router.onAdminDrains(at, adminDrainedServers);
        }
    }

    /** Restarts gracefully: accepts no new requests, completes the open ones, then starts again. */
    void restart(long at, long maxDeadlineNanos) {
        isShuttingDown = true;
        int startIncarnation = incarnation;
        timeline.schedule(
                at + maxDeadlineNanos,
                then -> {
                    if (startIncarnation == incarnation) {
                        kill(then);
                        start(then);
                    }
                });
    }

    /** Stops at once; all open requests are lost. */
    void kill(long at) {
        isDown = true;
        incarnation++;
        if (connections != null) {
            connections.closeAll();
        }
        discovery.unsubscribe(this);
        List<Exchange> lostExchanges = new ArrayList<>(exchanges.values());
        exchanges.clear();
        lostExchanges.stream()
                .filter(exchange -> !exchange.isCompleted)
                .sorted(Comparator.comparingLong(exchange -> exchange.id))
                .forEach(exchange -> exchange.incomingRequest.onAnswer(at, Answer.LOST, 0));
    }

    /** Sets whether messages to a cache are lost. */
    void setPartitioned(int cacheIndex, boolean isPartitioned) {
        partitionedCaches.set(cacheIndex, isPartitioned);
    }

    /** Returns whether the balancer accepts no new requests. */
    boolean isUnavailable() {
        return isDown || isShuttingDown;
    }

    int zone() {
        return zone;
    }

    /** Runs an action once the core is free. */
    private void runOnCore(long at, Event action) {
        if (spec.eventCostNanos() == 0) {
            now = at;
            action.run(at);
            return;
        }
        coreFreeAtNanos = Math.max(at, coreFreeAtNanos) + spec.eventCostNanos();
        int startIncarnation = incarnation;
        timeline.schedule(
                coreFreeAtNanos,
                then -> {
                    if (startIncarnation == incarnation) {
                        now = then;
                        action.run(then);
                    }
                });
    }

    /** Accepts a request and returns the id by which it can be cancelled. */
    long acceptRequest(long at, IncomingRequest incomingRequest) {
        long id = ++lastRequestId;
        if (isDown) {
            incomingRequest.onAnswer(at, Answer.LOST, 0);
            return id;
        }
        Exchange exchange =
                new Exchange(
                        id,
                        incomingRequest,
                        at + incomingRequest.timeoutNanos() - NETWORK_MARGIN_NANOS);
        exchanges.put(id, exchange);
        int startIncarnation = incarnation;
        exchange.deadlineTimer =
                timeline.schedule(
                        exchange.deadlineNanos + NANOS_PER_MILLI,
                        then -> {
                            if (startIncarnation == incarnation && !exchange.isCompleted) {
                                // The decision module left the request open past its deadline; the
                                // client still gets one answer.
                                invariantChecker.recordViolation(
                                        SimInvariantChecker.Rule.LEFT_OPEN);
                                now = then;
                                completeRequest(exchange, Answer.FAILED, 0);
                                router.onClientDisconnect(then, id);
                            }
                        });
        runOnCore(
                at,
                then -> {
                    // The client may have disconnected while the request waited for the core.
                    if (!exchange.isCompleted) {
                        router.onRequest(
                                then, incomingRequest.createRequest(id, exchange.deadlineNanos));
                    }
                });
        return id;
    }

    /** Cancels a request whose client has disconnected. */
    void onClientDisconnect(long at, long id) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && !exchange.isCompleted) {
            exchange.isCompleted = true;
            timeline.cancel(exchange.deadlineTimer);
            now = at;
            router.onClientDisconnect(at, id);
            removeIfCompleted(exchange);
        }
    }

    private void completeRequest(Exchange exchange, Answer answer, long retryAfterNanos) {
        exchange.isCompleted = true;
        timeline.cancel(exchange.deadlineTimer);
        IncomingRequest incomingRequest = exchange.incomingRequest;
        timeline.schedule(
                now + networkDelays.sampleDelayNanos(),
                then -> incomingRequest.onAnswer(then, answer, retryAfterNanos));
        removeIfCompleted(exchange);
    }

    private void removeIfCompleted(Exchange exchange) {
        if (exchange.isCompleted && exchange.pendingAttempts == 0) {
            exchanges.remove(exchange.id);
        }
    }

    private void completeAttempt(long at, Attempt attempt, AttemptResult reason) {
        if (attempt.isCompleted || attempt.startIncarnation != incarnation) {
            return;
        }
        attempt.isCompleted = true;
        timeline.cancel(attempt.timeoutTimer);
        releaseConnection(at, attempt, reason);
        Exchange exchange = attempt.exchange;
        exchange.pendingAttempts--;
        now = at;
        if (reason == AttemptResult.OK && !exchange.isCompleted) {
            servedRequests++;
            completeRequest(exchange, Answer.SERVED, 0);
        }
        router.onAttemptOutcome(
                at,
                new AttemptOutcome(
                        exchange.id,
                        attempt.number,
                        reason,
                        at - attempt.sentAtNanos,
                        exchange.isCompleted,
                        attempt.source,
                        NO_REPORT));
        removeIfCompleted(exchange);
    }

    @Override
    public void onList(long at, EndpointUpdateMode mode, List<Server> servers) {
        if (!isDown) {
            now = at;
            recordDrainStates(at, mode, servers);
            router.onEndpointUpdate(at, mode, servers);
        }
    }

    // Actions of the decision module. Immediate outcomes are scheduled as separate events because
    // the module is not reentrant.

    @Override
    public void send(long requestId, long serverId, long abandonAtNanos) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange == null) {
            return;
        }
        Attempt attempt = new Attempt(exchange, exchange.attempts.size(), now);
        exchange.attempts.add(attempt);
        exchange.pendingAttempts++;
        if (exchange.isCompleted || exchange.attempts.size() > spec.maxAttempts()) {
            timeline.schedule(
                    now, then -> completeAttempt(then, attempt, AttemptResult.SUPERSEDED));
            return;
        }
        attemptsSent++;
        additionalAttempts += exchange.attempts.size() > 1 ? 1 : 0;
        long timeoutAtNanos =
                abandonAtNanos <= 0
                        ? exchange.deadlineNanos
                        : Math.min(abandonAtNanos, exchange.deadlineNanos);
        // An unsent attempt cannot have been executed: its connection was not established in time.
        attempt.timeoutTimer =
                timeline.schedule(
                        timeoutAtNanos,
                        then ->
                                completeAttempt(
                                        then,
                                        attempt,
                                        attempt.isSent
                                                ? AttemptResult.TIMEOUT
                                                : AttemptResult.CONNECT_FAILED));
        attempt.cacheIndex = (int) indexByServerId.get(serverId);
        if (drainingSinceNanos[attempt.cacheIndex] != 0
                && now - drainingSinceNanos[attempt.cacheIndex] > Emulation.DRAIN_GRACE_NANOS) {
            invariantChecker.recordViolation(SimInvariantChecker.Rule.SENT_TO_DRAINING);
        }
        if (connections == null) {
            sendToCache(now, attempt);
        } else if (connections.tryAcquireIdle(now, attempt.cacheIndex)) {
            attempt.connectionIncarnation = connections.incarnation(attempt.cacheIndex);
            sendToCache(now, attempt);
        } else if (connections.ensureCapacity(now)) {
            connect(attempt);
        } else {
            timeline.schedule(
                    now, then -> completeAttempt(then, attempt, AttemptResult.SUPERSEDED));
        }
    }

    private boolean isReachable(int cacheIndex) {
        return !partitionedCaches.get(cacheIndex)
                && networkDelays.isConnected(zone, zone(cacheIndex));
    }

    private void connect(Attempt attempt) {
        connections.onConnectStarted();
        int cacheIndex = attempt.cacheIndex;
        long startedAtNanos = now;
        long connectNanos =
                networkDelays.sampleDelayNanos(zone, zone(cacheIndex))
                        + networkDelays.sampleDelayNanos(zone(cacheIndex), zone)
                        + connectionSpec.handshakeNanos();
        timeline.schedule(
                startedAtNanos + connectNanos,
                then -> {
                    if (attempt.startIncarnation != incarnation) {
                        return;
                    }
                    Boolean isAccepted =
                            isReachable(cacheIndex)
                                    ? cacheAtAddress.get(cacheIndex).acceptConnection()
                                    : null;
                    if (isAccepted == null) {
                        timeline.schedule(
                                startedAtNanos + connectionSpec.connectTimeoutNanos(),
                                at -> onConnectFailed(at, attempt));
                    } else if (!isAccepted) {
                        onConnectFailed(then, attempt);
                    } else {
                        connections.onConnected(then, cacheIndex);
                        if (attempt.isCompleted) {
                            // The attempt ended during the handshake. Nothing was written, so the
                            // connection is kept.
                            connections.release(
                                    then, cacheIndex, connections.incarnation(cacheIndex));
                        } else {
                            attempt.connectionIncarnation = connections.incarnation(cacheIndex);
                            attempt.isFirstOnConnection = true;
                            now = then;
                            sendToCache(then, attempt);
                        }
                    }
                });
    }

    private void onConnectFailed(long at, Attempt attempt) {
        if (attempt.startIncarnation == incarnation) {
            connections.onConnectFailed();
            runOnCore(at, then -> completeAttempt(then, attempt, AttemptResult.CONNECT_FAILED));
        }
    }

    private void sendToCache(long at, Attempt attempt) {
        attempt.isSent = true;
        if (networkDelays.isMessageLost() || !isReachable(attempt.cacheIndex)) {
            return;
        }
        SimCache cache = cacheAtAddress.get(attempt.cacheIndex);
        attempt.isIntendedCache = cache.index() == attempt.cacheIndex;
        boolean isReset = networkDelays.isConnectionReset();
        timeline.schedule(
                at + networkDelays.sampleDelayNanos(zone, zone(attempt.cacheIndex)),
                then -> {
                    if (isReset) {
                        timeline.schedule(
                                then
                                        + networkDelays.sampleDelayNanos(
                                                zone(attempt.cacheIndex), zone),
                                back -> completeAttempt(back, attempt, AttemptResult.RESET));
                    }
                    // Every other reset request reaches the cache first and may be executed.
                    if (!isReset || (attempt.exchange.id & 1) == 0) {
                        cache.accept(then, attempt);
                    }
                });
    }

    /**
     * Returns the connection to the pool after an answer. Without one it is closed, because the
     * answer may still arrive.
     */
    private void releaseConnection(long at, Attempt attempt, AttemptResult reason) {
        if (attempt.connectionIncarnation == NO_CONNECTION) {
            return;
        }
        if (reason.answered()
                || reason == AttemptResult.ERROR
                || reason == AttemptResult.REJECTED) {
            connections.release(at, attempt.cacheIndex, attempt.connectionIncarnation);
        } else {
            connections.close(attempt.cacheIndex, attempt.connectionIncarnation);
        }
        attempt.connectionIncarnation = NO_CONNECTION;
    }

    @Override
    public void cancel(long requestId, int attempt) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && attempt < exchange.attempts.size()) {
            Attempt cancelled = exchange.attempts.get(attempt);
            timeline.schedule(
                    now, then -> completeAttempt(then, cancelled, AttemptResult.CANCELLED));
        }
    }

    @Override
    public void reject(long requestId, long retryAfterNanos) {
        answerClient(
                requestId,
                Answer.REJECTED,
                Math.min(retryAfterNanos, settings.maxRetryAfterNanos()));
    }

    @Override
    public void fail(long requestId) {
        answerClient(requestId, Answer.FAILED, 0);
    }

    private void answerClient(long requestId, Answer answer, long retryAfterNanos) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange == null || exchange.isCompleted) {
            invariantChecker.recordViolation(SimInvariantChecker.Rule.ANSWERED_TWICE);
        } else {
            completeRequest(exchange, answer, retryAfterNanos);
        }
    }

    @Override
    public void scheduleTimer(long atNanos, int token) {
        int startIncarnation = incarnation;
        timeline.schedule(
                atNanos,
                then -> {
                    if (startIncarnation == incarnation) {
                        now = then;
                        router.onTimer(then, token);
                    }
                });
    }

    @Override
    public void closeIdleConnections(long serverId) {
        if (connections != null) {
            connections.closeIdle((int) indexByServerId.get(serverId));
        }
    }

    @Override
    public void subscribe() {
        discovery.subscribe(now, this);
    }

    /** Returns the number of requests received, including those received while down. */
    long receivedRequests() {
        return lastRequestId;
    }

    long attemptsSent() {
        return attemptsSent;
    }

    /** Returns the number of requests served. */
    long servedRequests() {
        return servedRequests;
    }

    /** Returns the number of handshakes started. */
    long handshakes() {
        return connections == null ? 0 : connections.handshakeCount();
    }

    /** Returns the number of attempts after the first of each request. */
    long additionalAttempts() {
        return additionalAttempts;
    }
}
