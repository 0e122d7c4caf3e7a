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
import frostrelay.policy.api.Server;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/** A minimal embedding of the decision module: two servers, one request, a clock set by hand. */
final class EmbeddingExample {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private EmbeddingExample() {}

    /** Sends one read and returns the id of the server that it went to. */
    static long routeOne() {
        Queue<Long> sentTo = new ArrayDeque<>();
        Router router = new Router(settings(), 42, recordSends(sentTo));
        long now = 1_000 * NANOS_PER_MILLI;
        router.onEndpointUpdate(
                now,
                EndpointUpdateMode.FULL,
                List.of(
                        new Server(1, 0, 0, 0, EndpointState.READY, 1, 0),
                        new Server(2, 0, 0, 0, EndpointState.READY, 1, 0)));
        router.onRequest(
                now, new Request(7, 0, 0, 99, now + 600 * NANOS_PER_MILLI, 0, false, false));
        now += 20 * NANOS_PER_MILLI;
        router.onAttemptOutcome(
                now,
                new AttemptOutcome(
                        7,
                        0,
                        AttemptResult.OK,
                        20 * NANOS_PER_MILLI,
                        true,
                        ResponseSource.UNKNOWN,
                        new float[0]));
        return sentTo.remove();
    }

    /** Returns actions that only record the servers of attempts. */
    private static PolicyActions recordSends(Queue<Long> sentTo) {
        return new PolicyActions() {
            @Override
            public void send(long request, long server, long abandonAtNanos) {
                sentTo.add(server); // a real embedding starts the attempt on its own connections
            }

            @Override
            public void cancel(long request, int attempt) {}

            @Override
            public void reject(long request, long retryAfterNanos) {}

            @Override
            public void fail(long request) {}

            @Override
            public void scheduleTimer(long atNanos, int token) {}

            @Override
            public void closeIdleConnections(long server) {}

            @Override
            public void subscribe() {}
        };
    }

    private static PolicySettings settings() {
        return new PolicySettings(
                List.of(readClass()),
                List.of(),
                0,
                0,
                1,
                false,
                -1,
                false,
                3,
                true,
                true,
                250 * NANOS_PER_MILLI,
                false,
                0,
                250 * NANOS_PER_MILLI,
                10_000 * NANOS_PER_MILLI,
                0.2,
                20_000 * NANOS_PER_MILLI,
                4,
                1_000 * NANOS_PER_MILLI,
                1,
                0,
                null,
                new LoadReportLayout(-1, -1, -1));
    }

    private static RequestClass readClass() {
        return new RequestClass(
                300 * NANOS_PER_MILLI,
                0,
                600 * NANOS_PER_MILLI,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false,
                false);
    }
}
