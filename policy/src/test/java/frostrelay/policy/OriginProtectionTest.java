package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.AttemptResult;

import org.junit.jupiter.api.Test;

import java.util.List;

/** Requests that reach the origin while it is slow, failing or fast. */
class OriginProtectionTest {
    private static PolicyTestFixture fixture() {
        return new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder());
    }

    /**
     * Reads that missed must not occupy all connections of a full origin, as writes have more
     * weight.
     */
    @Test
    void aFullOriginIsReservedForWrites() {
        PolicyTestFixture fixture = PolicyTestFixture.lookAside(4);
        int originFetches = 0;
        for (int i = 0; i < 200; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            if (fixture.outcome(i, 0, AttemptResult.MISS) != null) {
                originFetches += i >= 100 ? 1 : 0;
                for (int attempt = 1; attempt < 6; attempt++) {
                    fixture.outcome(i, attempt, AttemptResult.CONNECT_FAILED);
                }
            }
        }
        assertTrue(originFetches < 30, "misses forwarded to the full origin: " + originFetches);
        int writes = 0;
        for (int i = 500; i < 540; i++) {
            writes += fixture.request(i, PolicyTestFixture.KEYED_WRITE, i) != null ? 1 : 0;
        }
        assertTrue(writes > 6, "writes of 40 forwarded to the full origin: " + writes);
        for (int i = 600; i < 800; i++) {
            fixture.request(i, PolicyTestFixture.KEYED_WRITE, i);
            fixture.outcome(i, 0, AttemptResult.OK);
        }
        fixture.request(900, PolicyTestFixture.READ, 5);
        assertNotNull(fixture.outcome(900, 0, AttemptResult.MISS));
    }

    /** Writes, and clients' retries of them, must not keep a failing origin's queue full. */
    @Test
    void writesToAFailingOriginAreReducedAfterReads() {
        PolicyTestFixture fixture = PolicyTestFixture.lookAside(4);
        for (int i = 0; i < 60; i++) {
            fixture.request(i, PolicyTestFixture.KEYED_WRITE, i);
            fixture.outcome(i, 0, AttemptResult.TIMEOUT);
            fixture.router.onClientDisconnect(fixture.now, i);
        }
        int writes = 0;
        int originFetches = 0;
        for (int i = 100; i < 500; i++) {
            writes += fixture.request(i, PolicyTestFixture.KEYED_WRITE, i) != null ? 1 : 0;
            fixture.request(i + 1000, PolicyTestFixture.READ, i);
            originFetches += fixture.outcome(i + 1000, 0, AttemptResult.MISS) != null ? 1 : 0;
        }
        String summary = writes + " writes, " + originFetches + " fetches of 400";
        assertTrue(
                writes > 80 && writes < 200 && originFetches > 10 && originFetches < writes / 2,
                summary);
    }

    /**
     * Rejected reads of a hot key must not circulate among its full servers while the origin has
     * capacity.
     */
    @Test
    void rejectedReadGoesToTheOriginWhileItIsFast() {
        PolicyTestFixture fixture = PolicyTestFixture.lookAside(8);
        fixture.request(1, PolicyTestFixture.READ, 5);
        assertEquals(99, fixture.outcome(1, 0, AttemptResult.REJECTED).server());
        fixture.outcome(1, 1, AttemptResult.OK);
        fixture.slowOrigin();
        fixture.request(2, PolicyTestFixture.READ, 5);
        assertNotEquals(
                99,
                fixture.outcome(2, 0, AttemptResult.REJECTED).server(),
                "not sent to a slow origin");
    }

    /** While the origin is being read, no cache gets a hedged request for the same read. */
    @Test
    void requestsAtTheOriginAreNotHedged() {
        PolicyTestFixture fixture = PolicyTestFixture.lookAside(8);
        fixture.fillLatencyDigest(40);
        fixture.request(1, PolicyTestFixture.READ, 5);
        assertEquals(99, fixture.outcome(1, 0, AttemptResult.REJECTED).server());
        fixture.advanceMillis(500);
        assertEquals(2, fixture.sends.size());
    }

    /** A queue at the origin makes every fetch late: late fetches must not count as successes. */
    @Test
    void fetchesLaterThanTheLatencyObjectiveCountAsFailed() {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.lookAside = true;
        builder.latePriorityWeight = 0.5;
        PolicyTestFixture fixture =
                new PolicyTestFixture(builder)
                        .updateEndpoints(
                                List.of(
                                        PolicyTestFixture.server(1),
                                        PolicyTestFixture.server(2),
                                        PolicyTestFixture.origin(99)));
        int fetched = 0;
        for (int i = 0; i < 60; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            boolean sent = fixture.outcome(i, 0, AttemptResult.MISS) != null;
            fixture.advanceMillis(1500);
            if (sent) {
                fixture.outcome(i, 1, AttemptResult.OK);
                fetched += i >= 20 ? 1 : 0;
            }
        }
        assertTrue(fetched > 0 && fetched < 30, "fetches for 40 misses: " + fetched);
    }

    /**
     * With fifty balancers, each one has few fetches: its admitted fraction must still recover
     * quickly.
     */
    @Test
    void theFractionRecoversWithFewFetches() {
        PolicyTestFixture fixture = fixture().servers(6);
        for (int i = 0; i < 60; i++) {
            fixture.request(i, PolicyTestFixture.KEYED_WRITE, i);
            fixture.outcome(i, 0, AttemptResult.ERROR);
            fixture.outcome(i, 1, AttemptResult.ERROR);
        }
        for (int i = 100; i < 160; i++) {
            fixture.request(i, PolicyTestFixture.KEYED_WRITE, i);
            fixture.outcome(i, 0, AttemptResult.OK);
        }
        fixture.rejections.clear();
        for (int i = 3000; i < 3050; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
        }
        assertTrue(
                fixture.rejections.isEmpty(),
                "rejected after recovery: " + fixture.rejections.size());
    }
}
