package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.DeduplicationScope;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.Server;

import org.junit.jupiter.api.Test;

import java.util.List;

/** Routing of single requests: hedging, retries, rejections, deadlines and subscription. */
class RouterTest {
    private static PolicyTestFixture fixture() {
        return new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder());
    }

    @Test
    void exampleRoutesToOneOfItsServers() {
        assertTrue(List.of(1L, 2L).contains(EmbeddingExample.routeOne()));
    }

    @Test
    void keyStaysOnItsServerUnlessThatIsBusierThanTheOtherCandidate() {
        PolicyTestFixture fixture = fixture().servers(8);
        long first = fixture.request(1, PolicyTestFixture.READ, 5).server();
        fixture.outcome(1, 0, AttemptResult.OK);
        assertEquals(first, fixture.request(2, PolicyTestFixture.READ, 5).server());
        long second = fixture.request(3, PolicyTestFixture.READ, 5).server();
        assertNotEquals(first, second);
        fixture.outcome(3, 0, AttemptResult.OK);
        assertEquals(second, fixture.request(4, PolicyTestFixture.READ, 5).server());
    }

    @Test
    void anEmptyDigestHedgesNothing() {
        PolicyTestFixture fixture = fixture().servers(4);
        fixture.request(1, PolicyTestFixture.READ, 5);
        fixture.advanceMillis(900);
        assertEquals(1, fixture.sends.size());
    }

    @Test
    void tooFewSamplesHedgeNothing() {
        PolicyTestFixture fixture = fixture().servers(4);
        fixture.fillLatencyDigest(20);
        fixture.request(1, PolicyTestFixture.READ, 5);
        fixture.advanceMillis(900);
        assertEquals(1, fixture.sends.size());
    }

    @Test
    void aSlowReadIsHedgedOnceAndTheLoserIsCancelled() {
        PolicyTestFixture fixture = fixture().servers(4);
        fixture.fillLatencyDigest(40);
        long first = fixture.request(1, PolicyTestFixture.READ, 5).server();
        fixture.advanceMillis(900);
        assertEquals(2, fixture.sends.size());
        assertNotEquals(first, fixture.sends.get(1).server());
        fixture.outcome(1, 1, AttemptResult.OK);
        assertEquals(List.of("1/0"), fixture.cancels);
        assertNull(fixture.outcome(1, 0, AttemptResult.CANCELLED));
    }

    @Test
    void writesAreNotHedged() {
        PolicyTestFixture fixture = fixture().servers(4);
        fixture.fillLatencyDigest(40);
        fixture.request(1, PolicyTestFixture.KEYED_WRITE, 5);
        fixture.request(2, PolicyTestFixture.UNSAFE_WRITE, 6);
        fixture.advanceMillis(900);
        assertEquals(2, fixture.sends.size());
    }

    @Test
    void hedgedRequestsStayWithinTheRetryBudget() {
        PolicyTestFixture fixture = fixture().servers(8);
        fixture.fillLatencyDigest(40);
        for (int i = 0; i < 100; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
        }
        fixture.advanceMillis(500);
        int hedgedRequests = fixture.sends.size() - 100;
        assertTrue(
                hedgedRequests > 0 && hedgedRequests <= 10 + 0.2 * 140,
                "hedged requests: " + hedgedRequests);
    }

    @Test
    void missesAndWritesGoToTheOrigin() {
        PolicyTestFixture fixture = PolicyTestFixture.lookAside(4);
        assertNotEquals(99, fixture.request(1, PolicyTestFixture.READ, 5).server());
        assertEquals(99, fixture.outcome(1, 0, AttemptResult.MISS).server());
        assertEquals(99, fixture.request(2, PolicyTestFixture.KEYED_WRITE, 5).server());
        fixture.advanceMillis(900);
        assertEquals(3, fixture.sends.size());
    }

    @Test
    void anUnsafeRequestIsNotRetriedNorRejectedOnceItMayHaveRun() {
        PolicyTestFixture fixture = fixture().servers(4);
        fixture.request(1, PolicyTestFixture.UNSAFE_WRITE, 5);
        assertNull(fixture.outcome(1, 0, AttemptResult.RESET));
        assertEquals(List.of(1L), fixture.failures);
        fixture.request(2, PolicyTestFixture.UNSAFE_WRITE, 5);
        assertNotNull(fixture.outcome(2, 0, AttemptResult.REJECTED));
        assertNull(fixture.outcome(2, 1, AttemptResult.TIMEOUT));
        assertEquals(List.of(1L, 2L), fixture.failures);
        assertTrue(fixture.rejections.isEmpty());
    }

    @Test
    void aRequestWithAnIdempotencyKeyIsRetriedOnlyWithinItsWindow() {
        PolicyTestFixture fixture = fixture().servers(4);
        fixture.request(1, PolicyTestFixture.KEYED_WRITE, 5);
        fixture.advanceMillis(100);
        assertNotNull(fixture.outcome(1, 0, AttemptResult.RESET));
        fixture.advanceMillis(500);
        assertNull(fixture.outcome(1, 1, AttemptResult.RESET));
        assertTrue(fixture.isRejected(1));
    }

    @Test
    void aRequestWithAnIdempotencyKeyStaysInItsScope() {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.deduplicationScope = DeduplicationScope.CELL;
        PolicyTestFixture fixture = new PolicyTestFixture(builder);
        fixture.updateEndpoints(
                List.of(
                        new Server(1, 0, 0, 1, EndpointState.READY, 1, 0),
                        new Server(2, 0, 0, 2, EndpointState.READY, 1, 0)));
        fixture.request(1, PolicyTestFixture.KEYED_WRITE, 5);
        assertNull(fixture.outcome(1, 0, AttemptResult.RESET));
        assertEquals(List.of(1L), fixture.failures);
    }

    @Test
    void noSecondPendingAttemptWhereDuplicatesAreForbidden() {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.hedgingAllowed = false;
        PolicyTestFixture fixture = new PolicyTestFixture(builder).servers(4);
        fixture.fillLatencyDigest(40);
        fixture.request(1, PolicyTestFixture.READ, 5);
        fixture.advanceMillis(900);
        assertEquals(1, fixture.sends.size());
    }

    @Test
    void attemptsAreCapped() {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.maxAttempts = 2;
        PolicyTestFixture fixture = new PolicyTestFixture(builder).servers(6);
        fixture.request(1, PolicyTestFixture.READ, 5);
        assertNotNull(fixture.outcome(1, 0, AttemptResult.CONNECT_FAILED));
        assertNull(fixture.outcome(1, 1, AttemptResult.CONNECT_FAILED));
        assertTrue(fixture.isRejected(1));
    }

    @Test
    void requestsAreRejectedImmediatelyWithoutServers() {
        PolicyTestFixture fixture = fixture();
        assertNull(fixture.request(1, PolicyTestFixture.READ, 5));
        assertTrue(fixture.isRejected(1));
        PolicyTestFixture noOrigin = PolicyTestFixture.lookAside(0);
        noOrigin.updateEndpoints(List.of());
        assertNull(noOrigin.request(2, PolicyTestFixture.KEYED_WRITE, 5));
        assertTrue(noOrigin.isRejected(2));
    }

    @Test
    void aDisconnectedClientGetsNoAnswerAndItsAttemptIsCancelled() {
        PolicyTestFixture fixture = fixture().servers(4);
        fixture.request(1, PolicyTestFixture.READ, 5);
        fixture.router.onClientDisconnect(fixture.now, 1);
        assertEquals(List.of("1/0"), fixture.cancels);
        assertNull(fixture.outcome(1, 0, AttemptResult.RESET));
        fixture.router.onClientDisconnect(fixture.now, 1);
        fixture.outcome(1, 0, AttemptResult.OK);
        assertTrue(fixture.rejections.isEmpty() && fixture.failures.isEmpty());
    }

    @Test
    void unknownIdsAreIgnored() {
        PolicyTestFixture fixture = fixture().servers(4);
        fixture.outcome(77, 0, AttemptResult.OK);
        fixture.router.onClientDisconnect(fixture.now, 77);
        fixture.router.onFirstByte(fixture.now, 77, 0);
        fixture.router.onTimer(fixture.now, 12345);
        assertTrue(fixture.sends.isEmpty() && fixture.rejections.isEmpty());
    }

    @Test
    void timeoutsAtTheDeadlineGetAFinalAnswer() {
        PolicyTestFixture fixture = fixture().servers(4);
        fixture.request(1, PolicyTestFixture.READ, 5);
        fixture.request(2, PolicyTestFixture.UNSAFE_WRITE, 6);
        fixture.advanceMillis(2000);
        fixture.outcome(1, 0, AttemptResult.TIMEOUT);
        fixture.outcome(2, 0, AttemptResult.TIMEOUT);
        assertTrue(fixture.isRejected(1));
        assertEquals(List.of(2L), fixture.failures);
    }

    @Test
    void attemptsAreAbandonedAtTheLatencyObjectiveIfLateAnswersAreWorthless() {
        PolicyTestFixture fixture = fixture().servers(4);
        assertEquals(
                fixture.now + 1000 * PolicyTestFixture.NANOS_PER_MILLI,
                fixture.request(1, PolicyTestFixture.READ, 5).abandonAtNanos());
        PolicyTestFixture.SettingsBuilder late = new PolicyTestFixture.SettingsBuilder();
        late.latePriorityWeight = 0.5;
        PolicyTestFixture other = new PolicyTestFixture(late).servers(4);
        assertEquals(
                other.now + 2000 * PolicyTestFixture.NANOS_PER_MILLI,
                other.request(1, PolicyTestFixture.READ, 5).abandonAtNanos());
    }

    @Test
    void drainingAndRemovedServersGetNoNewAttempts() {
        PolicyTestFixture fixture = fixture().servers(3);
        fixture.updateEndpointsByDelta(
                PolicyTestFixture.server(1, EndpointState.DRAINING, 0),
                PolicyTestFixture.server(2, EndpointState.REMOVED, 0));
        for (int i = 0; i < 50; i++) {
            assertEquals(3, fixture.request(i, PolicyTestFixture.READ, i).server());
        }
        fixture.updateEndpoints(List.of(PolicyTestFixture.server(1)));
        assertEquals(1, fixture.request(100, PolicyTestFixture.READ, 5).server());
    }

    @Test
    void subscriptionsAreStaggeredAndRetriedAfterAFailure() {
        long previousWaitNanos = 0;
        for (int rank = 0; rank < 4; rank++) {
            PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
            builder.subscribe = true;
            builder.instanceCount = 4;
            builder.instanceIndex = rank;
            PolicyTestFixture fixture = new PolicyTestFixture(builder);
            fixture.router.onEndpointUpdate(
                    fixture.now, EndpointUpdateMode.CACHED, List.of(PolicyTestFixture.server(1)));
            assertEquals(1, fixture.timers.size());
            long waitNanos = fixture.timers.get(0).atNanos() - fixture.now;
            assertTrue(
                    waitNanos > previousWaitNanos
                            && waitNanos < 10_000 * PolicyTestFixture.NANOS_PER_MILLI,
                    "delay in ns: " + waitNanos);
            previousWaitNanos = waitNanos;
            fixture.advanceMillis(10_000);
            assertEquals(1, fixture.subscriptions);
            fixture.router.onEndpointUpdate(fixture.now, EndpointUpdateMode.FAILED, List.of());
            fixture.advanceMillis(10_000);
            assertEquals(2, fixture.subscriptions);
            assertNotNull(fixture.request(1, PolicyTestFixture.READ, 5));
        }
    }

    /**
     * Updates of the endpoint list must be known within 6 s of discovery even after failed calls:
     * the backoff must not exceed that limit.
     */
    @Test
    void theBackoffAfterFailedCallsStaysWithinTheUpdateLimit() {
        for (int instances : new int[] {1, 6, 100}) {
            PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
            builder.subscribe = true;
            builder.instanceCount = instances;
            builder.instanceIndex = instances - 1;
            PolicyTestFixture fixture = new PolicyTestFixture(builder);
            fixture.router.onEndpointUpdate(
                    fixture.now, EndpointUpdateMode.CACHED, List.of(PolicyTestFixture.server(1)));
            fixture.advanceMillis(10_000);
            for (int failures = 1; failures <= 12; failures++) {
                fixture.router.onEndpointUpdate(fixture.now, EndpointUpdateMode.FAILED, List.of());
                long backoffNanos = fixture.timers.get(0).atNanos() - fixture.now;
                long maxBackoffMillis = Math.min(4_300, 210 + 250 * instances);
                assertTrue(
                        backoffNanos >= 200 * PolicyTestFixture.NANOS_PER_MILLI
                                && backoffNanos
                                        <= maxBackoffMillis * PolicyTestFixture.NANOS_PER_MILLI,
                        instances + " instances, backoff in ns: " + backoffNanos);
                fixture.advanceMillis(5_000);
            }
            assertEquals(13, fixture.subscriptions);
        }
    }

    /**
     * A process that takes over must subscribe to the endpoint list immediately: after a staggered
     * delay it would have sent requests to draining servers.
     */
    @Test
    void processThatTakesOverSubscribesImmediately() {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.subscribe = true;
        builder.instanceCount = 4;
        builder.instanceIndex = 3;
        PolicyTestFixture fixture = new PolicyTestFixture(builder);
        fixture.router.onSiblingProcesses(fixture.now, 1);
        fixture.router.onEndpointUpdate(
                fixture.now, EndpointUpdateMode.CACHED, List.of(PolicyTestFixture.server(1)));
        assertTrue(
                fixture.timers.get(0).atNanos() - fixture.now <= PolicyTestFixture.NANOS_PER_MILLI);
        fixture.router.onEndpointUpdate(fixture.now, EndpointUpdateMode.FAILED, List.of());
        assertTrue(
                fixture.timers.get(1).atNanos() - fixture.now > PolicyTestFixture.NANOS_PER_MILLI,
                "a failed call is retried after a delay");
    }

    /**
     * A retry may be delayed until its connection is established: servers must still remember the
     * first attempt at that time.
     */
    @Test
    void retryOnANewConnectionArrivesWithinTheDeduplicationWindow() {
        for (int delayMillis : new int[] {190, 210}) {
            PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
            builder.connectTimeoutNanos = 250 * PolicyTestFixture.NANOS_PER_MILLI;
            PolicyTestFixture fixture = new PolicyTestFixture(builder).servers(4);
            fixture.request(1, PolicyTestFixture.KEYED_WRITE, 5);
            fixture.advanceMillis(delayMillis);
            // 450 ms of the 500 ms window are usable, of which connecting may take 250 ms.
            assertEquals(
                    delayMillis < 200,
                    fixture.outcome(1, 0, AttemptResult.RESET) != null,
                    "after " + delayMillis + " ms");
        }
    }

    @Test
    void streamedRequestIsNeitherHedgedNorRejected() {
        PolicyTestFixture fixture = fixture().servers(4);
        fixture.fillLatencyDigest(40);
        fixture.request(1, PolicyTestFixture.READ, 5);
        fixture.router.onFirstByte(fixture.now, 1, 0);
        fixture.advanceMillis(900);
        assertEquals(1, fixture.sends.size());
        assertFalse(fixture.isRejected(1));
    }
}
