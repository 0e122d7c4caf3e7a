package frostrelay.policy;

import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.DeduplicationScope;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.Idempotency;
import frostrelay.policy.api.LoadReportLayout;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.RequestClass;
import frostrelay.policy.api.ResponseSource;
import frostrelay.policy.api.RetryBudget;
import frostrelay.policy.api.Server;
import frostrelay.policy.api.Tenant;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** A router with a manual clock, recorded actions, and helper methods for events. */
final class PolicyTestFixture implements PolicyActions {
    static final long NANOS_PER_MILLI = 1_000_000L;
    static final int READ = 0;
    static final int KEYED_WRITE = 1;
    static final int UNSAFE_WRITE = 2;
    static final long NO_LIMIT = 0;

    record Sent(long request, int attempt, long server, long abandonAtNanos, long sentAtNanos) {}

    record Rejection(long request, long retryAfterNanos) {}

    record ScheduledTimer(long atNanos, int token) {}

    final List<Sent> sends = new ArrayList<>();
    final List<String> cancels = new ArrayList<>();
    final List<Rejection> rejections = new ArrayList<>();
    final List<Long> failures = new ArrayList<>();
    final List<Long> closedIdleServers = new ArrayList<>();
    final List<ScheduledTimer> timers = new ArrayList<>();
    int subscriptions;
    long now = 1_000_000 * NANOS_PER_MILLI;
    final PolicySettings settings;
    final Router router;

    PolicyTestFixture(SettingsBuilder builder) {
        this(builder, 7);
    }

    PolicyTestFixture(SettingsBuilder builder, long seed) {
        settings = builder.build();
        router = new Router(settings, seed, this);
    }

    @Override
    public void send(long request, long server, long abandonAtNanos) {
        int attempt = (int) sends.stream().filter(s -> s.request == request).count();
        sends.add(new Sent(request, attempt, server, abandonAtNanos, now));
    }

    @Override
    public void cancel(long request, int attempt) {
        cancels.add(request + "/" + attempt);
    }

    @Override
    public void reject(long request, long retryAfterNanos) {
        rejections.add(new Rejection(request, retryAfterNanos));
    }

    @Override
    public void fail(long request) {
        failures.add(request);
    }

    @Override
    public void scheduleTimer(long atNanos, int token) {
        timers.add(new ScheduledTimer(atNanos, token));
    }

    @Override
    public void closeIdleConnections(long server) {
        closedIdleServers.add(server);
    }

    @Override
    public void subscribe() {
        subscriptions++;
    }

    boolean isRejected(long request) {
        return rejections.stream().anyMatch(r -> r.request == request);
    }

    static Server server(long id) {
        return new Server(id, 0, 0, 0, EndpointState.READY, 1, 0);
    }

    static Server server(long id, EndpointState state, long startedAtNanos) {
        return new Server(id, 0, 0, 0, state, 1, startedAtNanos);
    }

    static Server origin(long id) {
        return new Server(id, 0, 2, 0, EndpointState.READY, 1, 0);
    }

    /** Returns a fixture in look-aside mode with the given number of caches, and origin 99. */
    static PolicyTestFixture lookAside(int caches) {
        SettingsBuilder builder = new SettingsBuilder();
        builder.lookAside = true;
        List<Server> list = new ArrayList<>();
        for (int i = 1; i <= caches; i++) {
            list.add(server(i));
        }
        list.add(origin(99));
        return new PolicyTestFixture(builder).updateEndpoints(list);
    }

    PolicyTestFixture servers(int count) {
        List<Server> list = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            list.add(server(i));
        }
        return updateEndpoints(list);
    }

    PolicyTestFixture updateEndpoints(List<Server> servers) {
        router.onEndpointUpdate(now, EndpointUpdateMode.FULL, servers);
        return this;
    }

    PolicyTestFixture updateEndpointsByDelta(Server... servers) {
        router.onEndpointUpdate(now, EndpointUpdateMode.DELTA, List.of(servers));
        return this;
    }

    Sent request(long id, int requestClass, long key) {
        return request(id, requestClass, key, 0, false);
    }

    Sent request(long id, int requestClass, long key, int tenant, boolean clientRetry) {
        return request(id, requestClass, key, tenant, clientRetry, 0);
    }

    Sent request(
            long id,
            int requestClass,
            long key,
            int tenant,
            boolean clientRetry,
            long workHintNanos) {
        int before = sends.size();
        long deadlineNanos = now + settings.classes().get(requestClass).deadlineNanos() / 2;
        router.onRequest(
                now,
                new Request(
                        id,
                        requestClass,
                        tenant,
                        key,
                        deadlineNanos,
                        workHintNanos,
                        clientRetry,
                        requestClass != READ));
        return sends.size() > before ? sends.get(before) : null;
    }

    /** Reports an outcome; returns the attempt sent in response, or null. */
    Sent outcome(long id, int attempt, AttemptResult reason) {
        int before = sends.size();
        router.onAttemptOutcome(
                now,
                new AttemptOutcome(
                        id,
                        attempt,
                        reason,
                        0,
                        reason == AttemptResult.OK,
                        ResponseSource.UNKNOWN,
                        new float[0]));
        return sends.size() > before ? sends.get(before) : null;
    }

    /** Ends every attempt of a request, retries included, with the same result. */
    void completeAll(long id, AttemptResult reason) {
        for (int attempt = 0; attempt < settings.maxAttempts(); attempt++) {
            outcome(id, attempt, reason);
        }
    }

    /** Makes the origin count as slow, by writes that take nearly their latency objective. */
    void slowOrigin() {
        for (long id = 2_000_000; id < 2_000_040; id++) {
            request(id, KEYED_WRITE, id);
            advanceMillis(900);
            outcome(id, 0, AttemptResult.OK);
        }
    }

    /** Opens the breaker of key 5's first candidate with requests 1 and 2; returns the server. */
    long openBreaker() {
        long failedServer = 0;
        for (long id = 1; id <= 2; id++) {
            failedServer = request(id, READ, 5).server();
            outcome(id, 0, AttemptResult.CONNECT_FAILED);
            outcome(id, 1, AttemptResult.OK);
        }
        return failedServer;
    }

    /** Advances the clock and fires the timers that become due. */
    void advanceMillis(long millis) {
        long untilNanos = now + millis * NANOS_PER_MILLI;
        while (true) {
            ScheduledTimer next = null;
            for (ScheduledTimer timer : timers) {
                if (timer.atNanos <= untilNanos && (next == null || timer.atNanos < next.atNanos)) {
                    next = timer;
                }
            }
            if (next == null) {
                now = untilNanos;
                return;
            }
            timers.remove(next);
            now = Math.max(now, next.atNanos);
            router.onTimer(now, next.token);
        }
    }

    /** Adds samples to the latency digest, by reads that take 10 ms each. */
    void fillLatencyDigest(int count) {
        for (int i = 0; i < count; i++) {
            long id = 1_000_000 + i;
            Objects.requireNonNull(request(id, READ, 10_000 + i));
            advanceMillis(10);
            outcome(id, 0, AttemptResult.OK);
        }
        sends.clear();
        cancels.clear();
    }

    /** A builder of settings with three classes: read, keyed write and unsafe write. */
    static final class SettingsBuilder {
        boolean lookAside;
        boolean subscribe;
        boolean hedgingAllowed = true;
        int maxAttempts = 6;
        long connectTimeoutNanos;
        int instanceIndex;
        int instanceCount = 1;
        double latePriorityWeight;
        DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
        List<Tenant> tenants = List.of();
        double overQuotaWeight = 1;
        double overloadMultiple = 4;
        boolean serializedByKey;
        Idempotency readIdempotency = Idempotency.IDEMPOTENT;
        Idempotency unsafeIdempotency = Idempotency.NOT_IDEMPOTENT;
        RetryBudget retryBudget;
        LoadReportLayout loadReportLayout = new LoadReportLayout(-1, -1, -1);

        PolicySettings build() {
            return new PolicySettings(
                    classes(),
                    tenants,
                    0,
                    instanceIndex,
                    instanceCount,
                    lookAside,
                    lookAside ? 2 : -1,
                    subscribe,
                    maxAttempts,
                    hedgingAllowed,
                    true,
                    connectTimeoutNanos,
                    true,
                    2000 * NANOS_PER_MILLI,
                    250 * NANOS_PER_MILLI,
                    10_000 * NANOS_PER_MILLI,
                    0.2,
                    10_000 * NANOS_PER_MILLI,
                    overloadMultiple,
                    1000 * NANOS_PER_MILLI,
                    overQuotaWeight,
                    50 * NANOS_PER_MILLI,
                    retryBudget,
                    loadReportLayout);
        }

        private List<RequestClass> classes() {
            return List.of(
                    new RequestClass(
                            1000 * NANOS_PER_MILLI,
                            0,
                            4000 * NANOS_PER_MILLI,
                            3,
                            latePriorityWeight,
                            readIdempotency,
                            DeduplicationScope.ALL,
                            0,
                            false,
                            false),
                    new RequestClass(
                            1000 * NANOS_PER_MILLI,
                            0,
                            4000 * NANOS_PER_MILLI,
                            9,
                            latePriorityWeight,
                            Idempotency.IDEMPOTENCY_KEY,
                            deduplicationScope,
                            500 * NANOS_PER_MILLI,
                            false,
                            serializedByKey),
                    new RequestClass(
                            1000 * NANOS_PER_MILLI,
                            0,
                            4000 * NANOS_PER_MILLI,
                            5,
                            latePriorityWeight,
                            unsafeIdempotency,
                            DeduplicationScope.CELL,
                            0,
                            false,
                            false));
        }
    }
}
