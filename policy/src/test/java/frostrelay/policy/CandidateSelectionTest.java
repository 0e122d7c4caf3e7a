package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.Server;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Selection among a key's candidates: outliers, hot keys, slow servers and zones. */
class CandidateSelectionTest {
    private static PolicyTestFixture fixture() {
        return new PolicyTestFixture(new PolicyTestFixture.SettingsBuilder());
    }

    /**
     * With a hundred balancers, each one reads from a faulty cache only once in several seconds and
     * cannot detect it alone. Peers' reports must reduce the cache's traffic, but not to zero, so
     * that its recovery is detected.
     */
    @Test
    void outlierGetsOneReadInEightUntilItIsCleared() {
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
        assertEquals(List.of(2L, 10L, 18L, 26L), probes, "first read after the report is sent");
        fixture.router.onPeerHealthReports(fixture.now, Set.of());
        assertEquals(outlier, fixture.request(40, PolicyTestFixture.READ, 5).server());
    }

    /**
     * A key with a large fraction of the traffic must not overload two servers while others idle.
     */
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
        assertTrue(servers.size() > 4, "servers: " + servers.size());
    }

    /** With no attempts in flight anywhere, ties must not go to a server that has become slow. */
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
     * A key that is hot over a thousand balancers, each of which sees it once in ten seconds, must
     * not overload its two servers.
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
     * Returns how many of 200 keys a balancer in zone 0 sends to its own zone, which has a quarter
     * of 12 servers.
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
}
