package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.RetryBudget;

import org.junit.jupiter.api.Test;

/**
 * Rules that apply only if they are configured: serialization by key, and a budget of retries and
 * hedged requests.
 */
class SerializationAndRetryBudgetTest {
    private static PolicyTestFixture serializedFixture() {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.serializedByKey = true;
        return new PolicyTestFixture(builder).servers(6);
    }

    private static PolicyTestFixture fixtureWithRetryBudget(double minRetries, double retryRatio) {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.retryBudget =
                new RetryBudget(minRetries, retryRatio, 2000 * PolicyTestFixture.NANOS_PER_MILLI);
        return new PolicyTestFixture(builder).servers(6);
    }

    @Test
    void requestsOfOneKeyRunOneAtATimeInArrivalOrder() {
        PolicyTestFixture fixture = serializedFixture();
        assertNotNull(fixture.request(1, PolicyTestFixture.KEYED_WRITE, 5));
        assertNull(fixture.request(2, PolicyTestFixture.KEYED_WRITE, 5));
        assertNull(fixture.request(3, PolicyTestFixture.KEYED_WRITE, 5));
        assertNotNull(
                fixture.request(4, PolicyTestFixture.KEYED_WRITE, 6), "other keys do not wait");
        assertNotNull(
                fixture.request(5, PolicyTestFixture.READ, 5), "unserialized classes do not wait");
        assertEquals(2, fixture.outcome(1, 0, AttemptResult.OK).request());
        assertEquals(3, fixture.outcome(2, 0, AttemptResult.OK).request());
    }

    @Test
    void aKeyIsQuarantinedAfterAnAttemptThatMayStillRun() {
        for (AttemptResult reason :
                new AttemptResult[] {AttemptResult.TIMEOUT, AttemptResult.RESET}) {
            PolicyTestFixture fixture = serializedFixture();
            fixture.request(1, PolicyTestFixture.KEYED_WRITE, 5);
            fixture.request(2, PolicyTestFixture.KEYED_WRITE, 5);
            fixture.advanceMillis(900);
            assertNull(fixture.outcome(1, 0, reason));
            fixture.advanceMillis(49);
            assertEquals(1, fixture.sends.size(), reason + ": the key is quarantined");
            fixture.advanceMillis(1);
            assertEquals(2, fixture.sends.size(), reason + ": the timer sends the next request");
        }
    }

    @Test
    void aDisconnectedClientKeepsItsKeyReservedUntilTheAttemptIsReported() {
        PolicyTestFixture fixture = serializedFixture();
        fixture.request(1, PolicyTestFixture.KEYED_WRITE, 5);
        fixture.request(2, PolicyTestFixture.KEYED_WRITE, 5);
        fixture.router.onClientDisconnect(fixture.now, 1);
        fixture.advanceMillis(300);
        assertEquals(1, fixture.sends.size());
        fixture.outcome(1, 0, AttemptResult.CANCELLED);
        fixture.advanceMillis(50);
        assertEquals(2, fixture.sends.get(1).request());
    }

    @Test
    void quarantineContinuesWhenTheQueueIsEmpty() {
        PolicyTestFixture fixture = serializedFixture();
        fixture.request(1, PolicyTestFixture.KEYED_WRITE, 5);
        fixture.advanceMillis(900);
        fixture.outcome(1, 0, AttemptResult.TIMEOUT);
        fixture.advanceMillis(10);
        assertNull(fixture.request(2, PolicyTestFixture.KEYED_WRITE, 5));
        fixture.advanceMillis(40);
        assertEquals(2, fixture.sends.size());
    }

    @Test
    void queuedRequestIsRejectedOnceAtItsLatencyObjective() {
        PolicyTestFixture fixture = serializedFixture();
        fixture.request(1, PolicyTestFixture.KEYED_WRITE, 5);
        fixture.request(2, PolicyTestFixture.KEYED_WRITE, 5);
        fixture.advanceMillis(999);
        assertTrue(fixture.rejections.isEmpty());
        fixture.advanceMillis(1);
        assertTrue(fixture.isRejected(2));
        fixture.outcome(1, 0, AttemptResult.OK);
        assertEquals(1, fixture.rejections.size());
        assertEquals(1, fixture.sends.size());
    }

    @Test
    void requestsThatCannotBeServedInTimeAreNotQueued() {
        PolicyTestFixture fixture = serializedFixture();
        for (long id = 1; id <= 40; id++) {
            fixture.request(id, PolicyTestFixture.KEYED_WRITE, 100 + id);
            fixture.advanceMillis(200);
            fixture.outcome(id, 0, AttemptResult.OK);
        }
        for (long id = 100; id < 120; id++) {
            fixture.request(id, PolicyTestFixture.KEYED_WRITE, 5);
        }
        assertTrue(
                fixture.rejections.size() >= 14,
                "rejected immediately: " + fixture.rejections.size());
        assertTrue(
                fixture.rejections.size() <= 16,
                "servable requests wait; rejected: " + fixture.rejections.size());
    }

    @Test
    void retriesStayWithinTheSlidingWindow() {
        PolicyTestFixture fixture = fixtureWithRetryBudget(1, 0.05);
        int retries = 0;
        for (long id = 1; id <= 40; id++) {
            fixture.request(id, PolicyTestFixture.READ, id);
            AttemptResult result = id > 35 ? AttemptResult.CONNECT_FAILED : AttemptResult.OK;
            retries += fixture.outcome(id, 0, result) != null ? 1 : 0;
        }
        assertEquals(3, retries, "1 + 5% of 40");
        fixture.advanceMillis(2000);
        fixture.request(50, PolicyTestFixture.READ, 5);
        assertNull(
                fixture.outcome(50, 0, AttemptResult.CONNECT_FAILED),
                "at the end of the window its retries still count, but its requests do not");
        fixture.advanceMillis(1);
        fixture.request(51, PolicyTestFixture.READ, 5);
        assertNotNull(fixture.outcome(51, 0, AttemptResult.CONNECT_FAILED));
    }

    @Test
    void hedgedRequestsCountAgainstTheRetryBudget() {
        PolicyTestFixture fixture = fixtureWithRetryBudget(1, 0);
        fixture.fillLatencyDigest(40);
        fixture.advanceMillis(2001);
        fixture.request(1, PolicyTestFixture.READ, 5);
        fixture.advanceMillis(100);
        assertEquals(2, fixture.sends.size(), "one hedged request");
        fixture.request(2, PolicyTestFixture.READ, 6);
        assertNull(fixture.outcome(2, 0, AttemptResult.REJECTED));
    }

    @Test
    void missesGoToTheOriginOutsideTheRetryBudget() {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.lookAside = true;
        builder.retryBudget = new RetryBudget(0, 0, 2000 * PolicyTestFixture.NANOS_PER_MILLI);
        PolicyTestFixture fixture =
                new PolicyTestFixture(builder)
                        .updateEndpoints(
                                java.util.List.of(
                                        PolicyTestFixture.server(1),
                                        PolicyTestFixture.server(2),
                                        PolicyTestFixture.origin(99)));
        fixture.request(1, PolicyTestFixture.READ, 5);
        assertEquals(99, fixture.outcome(1, 0, AttemptResult.MISS).server());
        assertNull(fixture.outcome(1, 1, AttemptResult.CONNECT_FAILED));
    }
}
