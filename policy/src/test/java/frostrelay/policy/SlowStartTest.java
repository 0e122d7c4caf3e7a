package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.RetryBudget;
import frostrelay.policy.api.Server;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Slow start: the keys and the number of attempts that servers get after a start. */
class SlowStartTest {
    private static final double TYPICAL_COST = WorkEstimate.TYPICAL_COST;

    private static PolicyTestFixture fixture() {
        return new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder());
    }

    @Test
    void requestsAreSentWhenAllServersAreInSlowStart() {
        PolicyTestFixture fixture = fixture();
        List<Server> list = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            list.add(PolicyTestFixture.server(i, EndpointState.READY, fixture.now));
        }
        fixture.updateEndpoints(list);
        for (int i = 0; i < 8; i++) {
            assertNotNull(fixture.request(i, PolicyTestFixture.READ, i), "request " + i);
            fixture.outcome(i, 0, AttemptResult.OK);
        }
    }

    /**
     * Guards against a heavy request that no server may get: it must neither push a cold server
     * over nor be repeated at once.
     */
    @Test
    void aRequestTooHeavyForAllServersIsRejectedWithARetryAfter() {
        PolicyTestFixture fixture = fixture();
        List<Server> list = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            list.add(PolicyTestFixture.server(i, EndpointState.READY, fixture.now));
        }
        fixture.updateEndpoints(list);
        long ordinaryWorkNanos = 80 * PolicyTestFixture.NANOS_PER_MILLI;
        for (int i = 0; i < 4; i++) {
            assertNotNull(
                    fixture.request(i, PolicyTestFixture.READ, i, 0, false, ordinaryWorkNanos));
            fixture.outcome(i, 0, AttemptResult.OK);
        }
        assertNull(fixture.request(8, PolicyTestFixture.READ, 8, 0, false, 27 * ordinaryWorkNanos));
        assertEquals(
                List.of(new PolicyTestFixture.Rejection(8, fixture.settings.maxRetryAfterNanos())),
                fixture.rejections);
        assertNotNull(fixture.request(9, PolicyTestFixture.READ, 9, 0, false, ordinaryWorkNanos));
        fixture.outcome(9, 0, AttemptResult.OK);
        fixture.advanceMillis(10_000);
        assertNotNull(
                fixture.request(10, PolicyTestFixture.READ, 8, 0, false, 27 * ordinaryWorkNanos),
                "served by warm servers");
    }

    @Test
    void serverInSlowStartGetsAGrowingFractionOfKeys() {
        PolicyTestFixture fixture = fixture().servers(3);
        fixture.updateEndpointsByDelta(
                PolicyTestFixture.server(4, EndpointState.READY, fixture.now));
        int early = sentTo(fixture, 4, 0);
        fixture.advanceMillis(4000);
        int halfway = sentTo(fixture, 4, 1000);
        fixture.advanceMillis(6000);
        int warmedUp = sentTo(fixture, 4, 2000);
        assertTrue(early < warmedUp / 2, early + " of " + warmedUp);
        assertTrue(halfway > early && halfway < warmedUp, early + ", " + halfway + ", " + warmedUp);
    }

    @Test
    void burstsStayWithinTheLimitOfAServerInSlowStart() {
        PolicyTestFixture warmedUpFixture = fixture().servers(10);
        PolicyTestFixture fixture = fixture().servers(9);
        fixture.updateEndpointsByDelta(
                PolicyTestFixture.server(
                        10,
                        EndpointState.READY,
                        fixture.now - 5_000 * PolicyTestFixture.NANOS_PER_MILLI));
        int keys = 0;
        int slowStartSends = 0;
        for (int i = 0; i < 1500; i++) {
            fixture.advanceMillis(1);
            boolean isOwner = warmedUpFixture.request(i, PolicyTestFixture.READ, i).server() == 10;
            warmedUpFixture.outcome(i, 0, AttemptResult.OK);
            if (isOwner) {
                keys++;
                slowStartSends +=
                        fixture.request(i, PolicyTestFixture.READ, i).server() == 10 ? 1 : 0;
                fixture.outcome(i, 0, AttemptResult.OK);
            }
        }
        assertTrue(
                keys > 100 && slowStartSends > 0 && slowStartSends <= keys * 4 * 0.5 / 10 + 1,
                slowStartSends + " of " + keys);
    }

    /**
     * A thousand balancers must not each send their first request for a hot key to the same cold
     * server.
     */
    @Test
    void manyBalancersLimitFirstSendsToAServerInSlowStart() {
        int maxSends = 0;
        for (int key = 0; key < 10; key++) {
            int slowStartSends = 0;
            for (int seed = 0; seed < 100; seed++) {
                PolicyTestFixture fixture =
                        new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder(), seed)
                                .servers(9);
                fixture.updateEndpointsByDelta(
                        PolicyTestFixture.server(
                                10,
                                EndpointState.READY,
                                fixture.now - 5_000 * PolicyTestFixture.NANOS_PER_MILLI));
                for (int i = 2; i < 6; i++) {
                    fixture.request(i, PolicyTestFixture.READ, 100 + i);
                    fixture.advanceMillis(250);
                }
                slowStartSends +=
                        fixture.request(1, PolicyTestFixture.READ, key).server() == 10 ? 1 : 0;
            }
            maxSends = Math.max(maxSends, slowStartSends);
        }
        assertTrue(maxSends > 10 && maxSends < 60, "sends by 100 balancers: " + maxSends);
    }

    /** During network failures, retries must not raise the limit that slow start allows. */
    @Test
    void retriesDoNotRaiseTheSlowStartLimit() {
        assertEquals(sendsInSlowStart(AttemptResult.OK), sendsInSlowStart(AttemptResult.RESET), 12);
    }

    private static int sendsInSlowStart(AttemptResult result) {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.retryBudget =
                new RetryBudget(100_000, 1, 1_000 * PolicyTestFixture.NANOS_PER_MILLI);
        PolicyTestFixture fixture = new PolicyTestFixture(builder).servers(9);
        fixture.updateEndpointsByDelta(
                PolicyTestFixture.server(10, EndpointState.READY, fixture.now));
        for (int i = 0; i < 2000; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            for (int attempt = 0; attempt < 4; attempt++) {
                fixture.outcome(i, attempt, result);
            }
            fixture.advanceMillis(1);
        }
        return (int) fixture.sends.stream().filter(s -> s.server() == 10).count();
    }

    private static int sentTo(PolicyTestFixture fixture, long server, int base) {
        int count = 0;
        for (int i = 0; i < 400; i++) {
            count +=
                    fixture.request(base + i, PolicyTestFixture.READ, i).server() == server ? 1 : 0;
            fixture.advanceMillis(2);
            fixture.outcome(base + i, 0, AttemptResult.OK);
        }
        return count;
    }

    /**
     * A server halfway through slow start can take every key, as servers are seldom full: only its
     * rate is limited.
     */
    @Test
    void serverHalfwayThroughSlowStartTakesEveryKeyAndANewOneFew() {
        PolicySettings settings = new PolicyTestFixture.SettingsBuilder().build();
        long now = 1_000_000 * PolicyTestFixture.NANOS_PER_MILLI;
        for (long ageMillis : new long[] {0, 5_000}) {
            ServerHealth health = new ServerHealth(settings, new SeededRandom(7));
            health.onEndpointUpdate(
                    now,
                    EndpointUpdateMode.FULL,
                    List.of(
                            PolicyTestFixture.server(
                                    1,
                                    EndpointState.READY,
                                    now - ageMillis * PolicyTestFixture.NANOS_PER_MILLI)));
            long admitted = 0;
            for (int i = 1; i <= 100; i++) {
                health.recordFirstSend(now + i * 20 * PolicyTestFixture.NANOS_PER_MILLI);
                admitted +=
                        health.admits(
                                        now + i * 20 * PolicyTestFixture.NANOS_PER_MILLI,
                                        health.caches[0],
                                        2047,
                                        TYPICAL_COST)
                                ? 1
                                : 0;
            }
            assertEquals(
                    ageMillis > 0, admitted > 50, "age " + ageMillis + ", admitted " + admitted);
        }
    }

    /**
     * While most load is shed, a balancer sends little itself; the answers of warm servers indicate
     * the capacity of a cold one.
     */
    @Test
    void slowStartLimitFollowsTheAnswersOfWarmServers() {
        PolicySettings settings = new PolicyTestFixture.SettingsBuilder().build();
        ServerHealth health = new ServerHealth(settings, new SeededRandom(7));
        long now = 1_000_000 * PolicyTestFixture.NANOS_PER_MILLI;
        health.onEndpointUpdate(
                now,
                EndpointUpdateMode.FULL,
                List.of(
                        PolicyTestFixture.server(1),
                        PolicyTestFixture.server(2, EndpointState.READY, now)));
        TrackedServer warmedUpServer = health.caches[0];
        TrackedServer slowStartServer = health.caches[1];
        int sent = 0;
        for (int i = 0; i < 400; i++) {
            now += 10 * PolicyTestFixture.NANOS_PER_MILLI;
            health.onAttemptStarted(now, warmedUpServer, TYPICAL_COST);
            health.onAttemptCompleted(now, warmedUpServer, AttemptResult.OK, 0, false);
            if (health.admits(now, slowStartServer, 0, TYPICAL_COST)) {
                health.onAttemptStarted(now, slowStartServer, TYPICAL_COST);
                sent++;
            }
        }
        // The warm server serves 100 requests/s and the cold one can take a fifth at first: at
        // least about 20 requests/s for 4 s.
        assertTrue(sent > 60 && sent < 4 * 100, "sent " + sent);
    }

    /** A new balancer's counts are small at first, which must not keep cold servers idle. */
    @Test
    void newBalancerScalesItsFirstCountsToTheAveragingTime() {
        ServerHealth health =
                new ServerHealth(
                        new PolicyTestFixture.SettingsBuilder().build(), new SeededRandom(7));
        long now = 1_000_000 * PolicyTestFixture.NANOS_PER_MILLI;
        health.onEndpointUpdate(
                now,
                EndpointUpdateMode.FULL,
                List.of(
                        PolicyTestFixture.server(1),
                        PolicyTestFixture.server(
                                2,
                                EndpointState.READY,
                                now - 5_000 * PolicyTestFixture.NANOS_PER_MILLI)));
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            now += 10 * PolicyTestFixture.NANOS_PER_MILLI;
            health.recordFirstSend(now);
            if (health.admits(now, health.caches[1], 0, TYPICAL_COST)) {
                health.onAttemptStarted(now, health.caches[1], TYPICAL_COST);
                sent++;
            }
        }
        assertTrue(
                sent > 20 && sent < 100,
                "sends of 100 to a server halfway through slow start, whose share is 50: " + sent);
    }
}
