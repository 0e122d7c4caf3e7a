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
 * One balancer: the real decision module with a ledger of open requests round it, as the real
 * balancer has one. Its one core takes a while for each event; what comes meanwhile waits.
 */
final class SimBalancer implements PolicyActions, SimDiscovery.Subscriber {
    /** Makes the decision module. */
    interface RouterFactory {
        PolicyEvents create(PolicySettings settings, long seed, PolicyActions actions);
    }

    /** A request as a client made it; hears its one final answer. */
    interface IncomingRequest {
        Request createRequest(long id, long deadlineNanos);

        long timeoutNanos();

        int key();

        /** Nanoseconds of a cache's core. */
        double workNanos();

        boolean isWrite();

        /** It took effect at a cache. */
        void onExecuted(long now);

        /** {@code retryAfterNanos}: nanoseconds to wait, for a refusal. */
        void onAnswer(long now, Answer answer, long retryAfterNanos);
    }

    /** A final answer; LOST where the balancer died with it. */
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

        /** Its end at the latest, on the timeline. */
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
         * In which life of the cache its connection came up, {@link #NO_CONNECTION} while it has
         * none.
         */
        int connectionIncarnation = NO_CONNECTION;

        /** The first on its connection bears the handshake's work. */
        boolean isFirstOnConnection;

        /** It is on its way: it may run. */
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

    /** What answers at the address that a place's id is listed with. */
    private final List<SimCache> cacheAtAddress;

    private final Long2LongHashMap indexByServerId;
    private final RouterFactory routerFactory;
    private final PolicySettings settings;
    private final int zone;
    private final int zoneCount;
    private final long seed;
    private final Long2ObjectHashMap<Exchange> exchanges = new Long2ObjectHashMap<>();

    /** Caches that nothing sent from here reaches. */
    private final BitSet partitionedCaches = new BitSet();

    private final SimInvariantChecker invariantChecker;

    /** Connections; null where they are not part of the model. */
    private final SimConnectionPool connections;

    /**
     * Since when this balancer has been told that a cache drains or is gone; 0 where it has not.
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

    /** {@code seed}: of its module; its zone is that of its settings. */
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

    /** Begins anew, knowing the list as it was last. */
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

    /** Operators hold these caches out of use, all of them and no others. */
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

    /** A planned restart: nothing new comes, what is open is served, and then it begins anew. */
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

    /** Dies with everything it holds. */
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

    /** A partition: what is sent to these caches is lost on the way. */
    void setPartitioned(int cacheIndex, boolean isPartitioned) {
        partitionedCaches.set(cacheIndex, isPartitioned);
    }

    /** Whether nothing new is to come here. */
    boolean isUnavailable() {
        return isDown || isShuttingDown;
    }

    int zone() {
        return zone;
    }

    /** Runs an action once the core is free for it. */
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

    /** A request arrives; returns under which number it can be taken back. */
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
                                // The module has left it open past its deadline: one answer is owed
                                // all the same.
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
                    // Its client may have left while it waited for the core.
                    if (!exchange.isCompleted) {
                        router.onRequest(
                                then, incomingRequest.createRequest(id, exchange.deadlineNanos));
                    }
                });
        return id;
    }

    /** Its client waits no longer. */
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

    // What the module asks for. Outcomes that come at once are events of their own: the module is
    // not reentrant.

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
        // What never left cannot have run: its connection did not come up in time.
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
                            // Cancelled while it came up: nothing was written, and it is kept.
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
                    // Of those that are reset every other one has come, and may run.
                    if (!isReset || (attempt.exchange.id & 1) == 0) {
                        cache.accept(then, attempt);
                    }
                });
    }

    /**
     * A connection is free after an answer; given up under a request it is closed, as the answer
     * may still come.
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

    /** Requests that came here, also while it was down. */
    long receivedRequests() {
        return lastRequestId;
    }

    long attemptsSent() {
        return attemptsSent;
    }

    /** Requests that were served from here. */
    long servedRequests() {
        return servedRequests;
    }

    /** Connections that were begun. */
    long handshakes() {
        return connections == null ? 0 : connections.handshakeCount();
    }

    /** Sends beyond the first of a request. */
    long additionalAttempts() {
        return additionalAttempts;
    }
}
