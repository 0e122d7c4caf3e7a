package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.AttemptResult;

import org.junit.jupiter.api.Test;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Circuit breakers: when they open, send a trial, and close. */
class CircuitBreakerTest {
    private static PolicyTestFixture fixture() {
        return new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder());
    }

    /**
     * Hedged requests answer all reads of a disconnected server, so that none times out. The
     * breaker must still open, and a trial without an answer must not close it.
     */
    @Test
    void breakerOpensWhenAllReadsAreOvertakenByHedgedRequests() {
        PolicyTestFixture fixture =
                new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder()).servers(4);
        fixture.fillLatencyDigest(64);
        fixture.advanceMillis(
                6_000); // until their hedged requests have left the retry budget's window
        long failedServer = fixture.request(1, PolicyTestFixture.READ, 5).server();
        fixture.outcome(1, 0, AttemptResult.OK);
        long id = 2;
        while (id < 20 && requestOvertakenByHedge(fixture, id) == failedServer) {
            id++;
        }
        assertTrue(id < 12, "the breaker opens after nine failures");
        fixture.advanceMillis(6_000);
        assertEquals(failedServer, requestOvertakenByHedge(fixture, ++id), "trial");
        assertNotEquals(
                failedServer, requestOvertakenByHedge(fixture, ++id), "after the failed trial");
    }

    /**
     * Sends a read whose first attempt gets no answer and whose hedged request does; returns the
     * server of the first attempt.
     */
    private static long requestOvertakenByHedge(PolicyTestFixture fixture, long id) {
        PolicyTestFixture.Sent first = fixture.request(id, PolicyTestFixture.READ, 5);
        fixture.advanceMillis(20);
        fixture.outcome(id, 1, AttemptResult.OK);
        assertTrue(fixture.cancels.contains(id + "/0"));
        fixture.outcome(id, 0, AttemptResult.CANCELLED);
        return first.server();
    }

    /**
     * While the origin is slow, misses fail at every server: breakers must not open everywhere,
     * which would move keys to servers that do not hold them.
     */
    @Test
    void breakersStayClosedWhenAllServersFailEqually() {
        PolicyTestFixture fixture = fixture().servers(6);
        Map<Long, Integer> sent = new HashMap<>();
        for (int i = 0; i < 3000; i++) {
            if (i == 1600) {
                fixture.updateEndpointsByDelta(PolicyTestFixture.server(7));
            }
            PolicyTestFixture.Sent send = fixture.request(i, PolicyTestFixture.UNSAFE_WRITE, i);
            if (send == null) {
                continue;
            }
            long server = send.server();
            boolean served = sent.merge(server, 1, Integer::sum) % 6 == 0 && server != 7;
            fixture.outcome(i, 0, served ? AttemptResult.OK : AttemptResult.ERROR);
        }
        assertTrue(
                sent.get(7L) > 40,
                "attempts at the last server, which failed like all others: " + sent.get(7L));
    }

    /** A breaker must not stay open because its trial was cancelled. */
    @Test
    void aCancelledTrialDoesNotKeepABreakerOpen() {
        PolicyTestFixture fixture = fixture().servers(2);
        long failedServer = fixture.openBreaker();
        fixture.advanceMillis(1500);
        assertEquals(failedServer, fixture.request(3, PolicyTestFixture.READ, 5).server());
        fixture.router.onClientDisconnect(fixture.now, 3);
        fixture.outcome(3, 0, AttemptResult.CANCELLED);
        fixture.advanceMillis(5000);
        assertEquals(failedServer, fixture.request(4, PolicyTestFixture.READ, 5).server());
    }

    /** Idle connections of many balancers can fill every cache's connection table: closes them. */
    @Test
    void idleConnectionsAreClosedWhileManyAttemptsFailToConnect() {
        PolicyTestFixture fixture = fixture().servers(20);
        fixture.request(1, PolicyTestFixture.READ, 1);
        fixture.outcome(1, 0, AttemptResult.CONNECT_FAILED);
        fixture.outcome(1, 1, AttemptResult.OK);
        assertTrue(fixture.closedIdleServers.isEmpty(), "not closed for one dead server");
        for (int i = 10; i < 30; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            fixture.outcome(i, 0, AttemptResult.CONNECT_FAILED);
        }
        long server = fixture.request(40, PolicyTestFixture.READ, 40).server();
        fixture.closedIdleServers.clear();
        fixture.outcome(40, 0, AttemptResult.OK);
        assertEquals(List.of(server), fixture.closedIdleServers);
        for (int i = 100; i < 300; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            fixture.outcome(i, 0, AttemptResult.OK);
        }
        fixture.closedIdleServers.clear();
        fixture.request(400, PolicyTestFixture.READ, 5);
        fixture.outcome(400, 0, AttemptResult.OK);
        assertTrue(fixture.closedIdleServers.isEmpty(), "kept open after recovery");
    }

    @Test
    void failedServerIsAvoidedUntilItsTrial() {
        PolicyTestFixture fixture = fixture().servers(2);
        long failedServer = fixture.openBreaker();
        for (int i = 10; i < 20; i++) {
            assertNotEquals(failedServer, fixture.request(i, PolicyTestFixture.READ, 5).server());
            fixture.outcome(i, 0, AttemptResult.OK);
        }
        fixture.advanceMillis(1500);
        assertEquals(failedServer, fixture.request(30, PolicyTestFixture.READ, 5).server());
        assertNotEquals(failedServer, fixture.request(31, PolicyTestFixture.READ, 5).server());
    }

    @Test
    void requestsAreStillSentWhenAllServersFail() {
        PolicyTestFixture fixture = fixture().servers(3);
        for (int i = 0; i < 20; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            for (int a = 0; a < 4; a++) {
                fixture.outcome(i, a, AttemptResult.CONNECT_FAILED);
            }
        }
        assertNotNull(fixture.request(100, PolicyTestFixture.READ, 5));
    }
}
