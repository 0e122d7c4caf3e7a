package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.LoadReportLayout;
import frostrelay.policy.api.ResponseSource;
import frostrelay.policy.api.RetryBudget;
import frostrelay.policy.api.Server;
import frostrelay.policy.api.Tenant;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One test for each failure that the bench has shown, written to fail without the change that
 * mended it.
 */
class BenchRegressionTest {
    private static PolicyTestFixture fixture() {
        return new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder());
    }

    /**
     * Reads on a host that is cut off are all saved by their copies, so none times out: the breaker
     * once stayed closed for good, and each trial ended without a verdict and let every read in
     * again.
     */
    @Test
    void aServerWhoseReadsAreAllOvertakenIsLeftAlone() {
        PolicyTestFixture fixture =
                new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder()).servers(4);
        fixture.fillLatencyDigest(64);
        fixture.advanceMillis(6_000); // the copies of these have used up their budget
        long failedServer = fixture.request(1, PolicyTestFixture.READ, 5).server();
        fixture.outcome(1, 0, AttemptResult.OK);
        long id = 2;
        while (id < 20 && requestOvertakenByHedge(fixture, id) == failedServer) {
            id++;
        }
        assertTrue(id < 12, "opened after nine failures");
        fixture.advanceMillis(6_000);
        assertEquals(failedServer, requestOvertakenByHedge(fixture, ++id), "a trial");
        assertNotEquals(failedServer, requestOvertakenByHedge(fixture, ++id), "that failed");
    }

    /**
     * A read whose first attempt is silent and whose copy is served; returns where the first one
     * went.
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
     * A hundred balancers meet a bad cache once in some seconds each: others' word lowers it, and
     * reads go on looking.
     */
    @Test
    void anOutlierGetsOneReadInEightUntilThatIsOver() {
        PolicyTestFixture fixture =
                new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder()).servers(4);
        long outlier = fixture.request(1, PolicyTestFixture.READ, 5).server();
        fixture.outcome(1, 0, AttemptResult.OK);
        fixture.router.onPeerHealthReports(fixture.now, Set.of(outlier));
        List<Long> probes = new ArrayList<>();
        for (long id = 2; id < 34; id++) {
            if (fixture.request(id, PolicyTestFixture.READ, 5).server() == outlier) {
                probes.add(id);
            }
            fixture.outcome(id, 0, AttemptResult.OK);
        }
        assertEquals(List.of(2L, 10L, 18L, 26L), probes, "the first behind the word is a look");
        fixture.router.onPeerHealthReports(fixture.now, Set.of());
        assertEquals(outlier, fixture.request(40, PolicyTestFixture.READ, 5).server());
    }

    /**
     * A few hosts that turned work away though they had time to spare had most requests shed, also
     * those for the hosts that stood idle: what an idle host says of work tells nothing of the
     * fleet's load.
     */
    @Test
    void rejectionsByIdleServersShedNothing() {
        for (float utilization : new float[] {0.2f, 0.9f}) {
            PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
            builder.loadReportLayout = new LoadReportLayout(-1, -1, 0);
            PolicyTestFixture fixture = new PolicyTestFixture(builder).servers(8);
            int sent = 0;
            for (long id = 1; id <= 400; id++) {
                sent += fixture.request(id, PolicyTestFixture.READ, id) != null ? 1 : 0;
                fixture.advanceMillis(5);
                for (int attempt = 0; attempt < fixture.settings.maxAttempts(); attempt++) {
                    fixture.router.onAttemptOutcome(
                            fixture.now,
                            new AttemptOutcome(
                                    id,
                                    attempt,
                                    AttemptResult.REJECTED,
                                    0,
                                    false,
                                    ResponseSource.UNKNOWN,
                                    new float[] {utilization}));
                }
            }
            assertEquals(utilization < 0.5f, sent == 400, "busy " + utilization + " sent " + sent);
        }
    }

    /** A key with a large share of the traffic filled its two hosts while the rest stood idle. */
    @Test
    void aHotKeySpreadsOverMoreThanTwoServers() {
        PolicyTestFixture fixture = fixture().servers(20);
        Set<Long> servers = new HashSet<>();
        for (int i = 0; i < 400; i++) {
            servers.add(
                    fixture.request(i, PolicyTestFixture.READ, i % 3 == 0 ? 5 : 1000 + i).server());
        }
        servers.clear();
        for (int i = 400; i < 440; i++) {
            servers.add(fixture.request(i, PolicyTestFixture.READ, 5).server());
        }
        assertTrue(servers.size() > 4, "hosts: " + servers.size());
    }

    /** With counts of 0 everywhere, ties kept sending to a host whose answers had become slow. */
    @Test
    void equalCountsGoToTheFasterCandidate() {
        PolicyTestFixture fixture = fixture().servers(6);
        long nearest = fixture.request(1, PolicyTestFixture.READ, 5).server();
        long other = fixture.request(2, PolicyTestFixture.READ, 5).server();
        fixture.advanceMillis(20);
        fixture.outcome(2, 0, AttemptResult.OK);
        fixture.advanceMillis(600);
        fixture.outcome(1, 0, AttemptResult.OK);
        assertEquals(other, fixture.request(3, PolicyTestFixture.READ, 5).server());
        assertNotEquals(nearest, other);
    }

    /**
     * A slow origin failed every miss, breakers opened everywhere and keys moved to hosts that
     * lacked them.
     */
    @Test
    void breakersStayClosedWhenServersFailAlike() {
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
                sent.get(7L) > 40, "the last host failed like all others and got " + sent.get(7L));
    }

    /**
     * Each refusal sent the request round all hosts: seven attempts a request, nine in ten turned
     * away.
     */
    @Test
    void retriesKeepToTheirBudget() {
        PolicyTestFixture fixture = fixture().servers(10);
        for (int i = 0; i < 300; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            fixture.completeAll(i, AttemptResult.TIMEOUT);
        }
        int retries = fixture.sends.size() - 300;
        assertTrue(retries > 10 && retries <= 10 + 300 * 0.2 + 1, "retries: " + retries);
    }

    /**
     * With a third of the hosts dead and the list late by seconds one request in seven was given up
     * after one send: the budget was spent. A send that reached nobody cost nobody anything: it is
     * made again once without it, and not more often.
     */
    @Test
    void aSendThatReachedNoServerIsRetriedOnceWithoutBudget() {
        PolicyTestFixture fixture = fixture().servers(10);
        for (int i = 0; i < 300; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            fixture.completeAll(i, AttemptResult.CONNECT_FAILED);
        }
        int retries = fixture.sends.size() - 300;
        assertTrue(retries >= 300 && retries <= 300 + 10 + 300 * 0.2 + 1, "retries: " + retries);
    }

    /** Reads that missed held all of a full origin's connections; writes, worth more, starved. */
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
        assertTrue(originFetches < 30, "misses sent on to the full origin: " + originFetches);
        int writes = 0;
        for (int i = 500; i < 540; i++) {
            writes += fixture.request(i, PolicyTestFixture.KEYED_WRITE, i) != null ? 1 : 0;
        }
        assertTrue(writes > 6, "writes sent on to it: " + writes + " of 40");
        for (int i = 600; i < 800; i++) {
            fixture.request(i, PolicyTestFixture.KEYED_WRITE, i);
            fixture.outcome(i, 0, AttemptResult.OK);
        }
        fixture.request(900, PolicyTestFixture.READ, 5);
        assertNotNull(fixture.outcome(900, 0, AttemptResult.MISS));
    }

    /**
     * Writes and clients' retries of them kept a failing origin's queue full to the end of the day.
     */
    @Test
    void writesToAFailingOriginAreThinnedButLast() {
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

    /** A trial that was cancelled left the breaker waiting for it for ever. */
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

    /**
     * Under lasting overload every queue was full and every answer late: nothing was shed within
     * shares.
     */
    @Test
    void lastingOverloadIsShedAndEndsWithItsCause() {
        PolicyTestFixture fixture = fixture().servers(6);
        for (int i = 0; i < 60; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            fixture.completeAll(i, AttemptResult.REJECTED);
        }
        fixture.rejections.clear();
        int reads = 0;
        int writes = 0;
        for (int i = 1000; i < 1400; i++) {
            reads += fixture.request(i, PolicyTestFixture.READ, i) == null ? 1 : 0;
            writes += fixture.request(i + 1000, PolicyTestFixture.KEYED_WRITE, i) == null ? 1 : 0;
        }
        String summary = "shed " + reads + " reads, " + writes + " writes of 400";
        assertTrue(reads > 200 && writes < reads * 0.85 && reads < 400, summary);
        for (int i = 1000; i < 2400; i++) {
            fixture.outcome(i, 0, AttemptResult.OK);
        }
        fixture.rejections.clear();
        for (int i = 3000; i < 3100; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
        }
        assertTrue(fixture.rejections.isEmpty());
    }

    /** A hot key's refused reads went round its hosts, all as full, while the origin had room. */
    @Test
    void aRejectedReadGoesToTheOriginWhileThatIsFast() {
        PolicyTestFixture fixture = PolicyTestFixture.lookAside(8);
        fixture.request(1, PolicyTestFixture.READ, 5);
        assertEquals(99, fixture.outcome(1, 0, AttemptResult.REJECTED).server());
        fixture.outcome(1, 1, AttemptResult.OK);
        fixture.slowOrigin();
        fixture.request(2, PolicyTestFixture.READ, 5);
        assertNotEquals(
                99,
                fixture.outcome(2, 0, AttemptResult.REJECTED).server(),
                "the origin is slow now");
    }

    /** The origin was fetching, and a cache was asked for a copy of the same read. */
    @Test
    void noHedgedRequestRunsBesideTheOrigin() {
        PolicyTestFixture fixture = PolicyTestFixture.lookAside(8);
        fixture.fillLatencyDigest(40);
        fixture.request(1, PolicyTestFixture.READ, 5);
        assertEquals(99, fixture.outcome(1, 0, AttemptResult.REJECTED).server());
        fixture.advanceMillis(500);
        assertEquals(2, fixture.sends.size());
    }

    /**
     * A key hot over a thousand balancers, each of which saw it once in ten seconds, choked its two
     * hosts.
     */
    @Test
    void manyBalancersWithFewReadsEachPreferTheirZone() {
        assertTrue(
                countSameZoneSends(100, false) > 120,
                "many balancers: " + countSameZoneSends(100, false));
        assertTrue(
                countSameZoneSends(10, false) < 80,
                "few balancers: " + countSameZoneSends(10, false));
        assertTrue(
                countSameZoneSends(100, true) < 80,
                "slow origin: " + countSameZoneSends(100, true));
    }

    /**
     * Of 200 keys, how many a balancer in zone 0 sends to its own zone, which has a quarter of 12
     * hosts.
     */
    private static int countSameZoneSends(int instances, boolean slowOrigin) {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.lookAside = true;
        builder.instanceCount = instances;
        List<Server> list = new ArrayList<>(List.of(PolicyTestFixture.origin(99)));
        for (int i = 1; i <= 12; i++) {
            list.add(new Server(i, i % 4, 0, 0, EndpointState.READY, 1, 0));
        }
        PolicyTestFixture fixture = new PolicyTestFixture(builder).updateEndpoints(list);
        if (slowOrigin) {
            fixture.slowOrigin();
        }
        int sameZoneSends = 0;
        for (int i = 0; i < 200; i++) {
            sameZoneSends +=
                    fixture.request(i, PolicyTestFixture.READ, 10_000 + i).server() % 4 == 0
                            ? 1
                            : 0;
            fixture.outcome(i, 0, AttemptResult.OK);
        }
        return sameZoneSends;
    }

    /**
     * Among many balancers a part of a share is one request a second: chance was shed as excess.
     */
    @Test
    void aFewRequestsAtOnceAreNotTakenForTrafficOverQuota() {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.instanceCount = 200;
        builder.tenants = List.of(new Tenant(200, 1));
        PolicyTestFixture fixture = new PolicyTestFixture(builder).servers(8);
        for (int i = 0; i < 10; i++) {
            fixture.request(i, PolicyTestFixture.READ, i, 0, false);
            fixture.outcome(i, 0, i == 9 ? AttemptResult.REJECTED : AttemptResult.OK);
            fixture.outcome(i, 1, AttemptResult.OK);
            fixture.advanceMillis(10_000);
        }
        fixture.rejections.clear();
        for (int i = 100; i < 106; i++) {
            fixture.request(i, PolicyTestFixture.READ, i, 0, false);
        }
        assertEquals(0, fixture.rejections.size());
    }

    /**
     * A thousand balancers each sent a hot key's one request to the same cold host and pushed it
     * over.
     */
    @Test
    void firstSendsOfManyBalancersToAServerInSlowStartAreThinned() {
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
        assertTrue(maxSends > 10 && maxSends < 60, "of 100 balancers " + maxSends);
    }

    /**
     * Clients' retries of refused requests used up their tenant's share, so that all its traffic
     * was shed.
     */
    @Test
    void rejectedRequestsDoNotUseUpAQuota() {
        PolicyTestFixture.SettingsBuilder builder = new PolicyTestFixture.SettingsBuilder();
        builder.tenants = List.of(new Tenant(2, 0.5), new Tenant(1_000_000, 0.5));
        PolicyTestFixture fixture = new PolicyTestFixture(builder).servers(8);
        for (int i = 0; i < 100; i++) {
            fixture.request(i, PolicyTestFixture.READ, i, 1, false);
            fixture.completeAll(i, AttemptResult.REJECTED);
        }
        int served = 0;
        for (int i = 1000; i < 1400; i++) {
            served += fixture.request(i, PolicyTestFixture.READ, i, 0, false) != null ? 1 : 0;
        }
        assertTrue(served > 10 && served <= 20, "of a share of 20 " + served);
    }

    /** A queue at the origin made every fetch late, and each counted as a success. */
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
        assertTrue(fetched > 0 && fetched < 30, "of 40 misses fetched: " + fetched);
    }

    /** With fifty balancers each had so few fills that its share took ten seconds to grow back. */
    @Test
    void theOriginFetchFractionGrowsBackOnFewFetches() {
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
        assertTrue(fixture.rejections.isEmpty(), "still shed: " + fixture.rejections.size());
    }

    /** Time-outs told of a jam only after seconds, when servers had slowed down for good. */
    @Test
    void requestsThatStayOutAreShedBeforeTheyTimeOut() {
        PolicyTestFixture fixture = fixture().servers(8);
        for (int i = 0; i < 150; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            fixture.advanceMillis(10);
        }
        assertTrue(
                fixture.rejections.size() > 15,
                "refused within 1.5 s: " + fixture.rejections.size());
    }

    /**
     * A third of the answers lost looked like overload, and two thirds of the traffic was refused.
     */
    @Test
    void lostAnswersAloneShedNothing() {
        PolicyTestFixture fixture = fixture().servers(8);
        for (int i = 0; i < 400; i++) {
            fixture.request(i, PolicyTestFixture.READ, i);
            if (i % 3 != 0) {
                fixture.outcome(i, 0, AttemptResult.OK);
            }
            fixture.advanceMillis(10);
        }
        assertEquals(0, fixture.rejections.stream().filter(r -> r.request() % 2 != 0).count());
    }

    /**
     * Idle connections of nine hundred balancers filled every cache's table: seven in ten attempts
     * got none.
     */
    @Test
    void idleConnectionsAreGivenUpWhileManyAttemptsGetNone() {
        PolicyTestFixture fixture = fixture().servers(20);
        fixture.request(1, PolicyTestFixture.READ, 1);
        fixture.outcome(1, 0, AttemptResult.CONNECT_FAILED);
        fixture.outcome(1, 1, AttemptResult.OK);
        assertTrue(fixture.closedIdleServers.isEmpty(), "one dead host is no reason");
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
        assertTrue(fixture.closedIdleServers.isEmpty(), "they are kept again");
    }

    /**
     * While links were cut, retries multiplied what fed the slow start, and cold hosts were pushed
     * over.
     */
    @Test
    void retriesDoNotFeedTheSlowStart() {
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

    /**
     * A few full caches of hot keys made hundreds of balancers shed reads that idle caches could
     * serve.
     */
    @Test
    void fullCachesAreNoOverloadWhileTheOriginIsFast() {
        PolicyTestFixture fastOriginFixture = PolicyTestFixture.lookAside(8);
        PolicyTestFixture slowOriginFixture = PolicyTestFixture.lookAside(8);
        slowOriginFixture.slowOrigin();
        for (PolicyTestFixture fixture : List.of(fastOriginFixture, slowOriginFixture)) {
            fixture.rejections.clear();
            for (int i = 0; i < 900; i++) {
                fixture.request(i, PolicyTestFixture.READ, i);
                fixture.outcome(i, 0, i % 2 == 0 ? AttemptResult.REJECTED : AttemptResult.OK);
                fixture.outcome(i, 1, AttemptResult.OK);
            }
        }
        assertEquals(0, countShedImmediately(fastOriginFixture));
        assertTrue(
                countShedImmediately(slowOriginFixture) > 20,
                "with a slow origin: " + countShedImmediately(slowOriginFixture));
    }

    /** Refused before any attempt: every other request was turned away by a cache instead. */
    private static long countShedImmediately(PolicyTestFixture fixture) {
        return fixture.rejections.stream().filter(r -> r.request() % 2 != 0).count();
    }
}
