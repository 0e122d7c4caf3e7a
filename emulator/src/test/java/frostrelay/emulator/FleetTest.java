package frostrelay.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.emulator.SystemModel.Fault;
import frostrelay.emulator.SystemModel.FaultKind;
import frostrelay.policy.api.Idempotency;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Tests of large tiers, in which each balancer observes only a small part of the traffic. */
class FleetTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;

    private static SystemModel model(int balancers, double rate, int zones, List<Fault> faults) {
        return new SystemModel(
                7,
                15 * NANOS_PER_SECOND,
                24 * NANOS_PER_SECOND,
                balancers,
                60,
                zones,
                new SystemModel.Cache(
                        1,
                        16,
                        0.01,
                        200,
                        SystemModel.Eviction.LRU,
                        0.2,
                        15 * NANOS_PER_SECOND,
                        false,
                        false),
                new SystemModel.Origin(16, 70 * NANOS_PER_MILLI, 120, 0, 0),
                new SystemModel.Network(
                        NANOS_PER_MILLI / 2, NANOS_PER_MILLI / 2, 2 * NANOS_PER_MILLI, 0),
                new SystemModel.Connections(
                        true,
                        4 * NANOS_PER_MILLI,
                        4 * NANOS_PER_MILLI,
                        250 * NANOS_PER_MILLI,
                        15 * NANOS_PER_SECOND,
                        120,
                        280),
                new SystemModel.Clients(
                        rate,
                        0,
                        NANOS_PER_SECOND,
                        0,
                        1_000,
                        0.95,
                        10,
                        2,
                        120 * NANOS_PER_MILLI,
                        0.65,
                        true,
                        0.5),
                new SystemModel.Balancer(400_000, 4, true),
                new SystemModel.Discovery(1_500 * NANOS_PER_MILLI, 400, 2 * NANOS_PER_SECOND),
                List.of(0.6, 0.4),
                List.of(
                        new SystemModel.RequestClass(
                                0.95,
                                25 * NANOS_PER_MILLI,
                                SystemModel.WorkDistribution.EXPONENTIAL,
                                340 * NANOS_PER_MILLI,
                                NANOS_PER_SECOND,
                                1,
                                Idempotency.IDEMPOTENT),
                        new SystemModel.RequestClass(
                                0.05,
                                40 * NANOS_PER_MILLI,
                                SystemModel.WorkDistribution.FIXED,
                                710 * NANOS_PER_MILLI,
                                1_670 * NANOS_PER_MILLI,
                                3,
                                Idempotency.NOT_IDEMPOTENT)),
                faults);
    }

    private static Emulation.Result simulate(Fault... faults) {
        return Emulation.simulate(model(100, 800, 1, List.of(faults)));
    }

    private static double servedFraction(Emulation.Result result, int from, int to) {
        assertEquals(Map.of(), result.violations());
        RunStatistics statistics = result.statistics();
        assertEquals(
                statistics.asked(),
                statistics.inTime()
                        + statistics.late()
                        + statistics.rejected()
                        + statistics.failed());
        return statistics.served(from, to);
    }

    /**
     * Seventy balancers restart at once while discovery is overloaded. Clients retry the lost
     * requests. Some discovery calls time out, but all balancers must get a list again.
     */
    @Test
    void seventyBalancersRestartAtOnceWhileDiscoveryIsOverloaded() {
        Emulation.Result result =
                simulate(
                        new Fault(
                                5 * NANOS_PER_SECOND,
                                12 * NANOS_PER_SECOND,
                                FaultKind.DISCOVERY_SHORT,
                                1,
                                16),
                        new Fault(
                                8 * NANOS_PER_SECOND,
                                NANOS_PER_SECOND,
                                FaultKind.BALANCER_RESTART,
                                0.7,
                                1));
        assertTrue(
                servedFraction(result, 8, 12) > 0.7,
                "served in time during the fault: " + result.statistics().served(8, 12));
        assertTrue(
                servedFraction(result, 18, 24) > 0.9,
                "served in time after the fault: " + result.statistics().served(18, 24));
    }

    /** All balancers together must not overload the restarted caches during slow start. */
    @Test
    void aZoneFailsAndRestartsCold() {
        Emulation.Result result =
                Emulation.simulate(
                        model(
                                100,
                                700,
                                3,
                                List.of(
                                        new Fault(
                                                6 * NANOS_PER_SECOND,
                                                5 * NANOS_PER_SECOND,
                                                FaultKind.ZONE_LOST,
                                                1,
                                                1),
                                        new Fault(
                                                15 * NANOS_PER_SECOND,
                                                3 * NANOS_PER_SECOND,
                                                FaultKind.ZONE_CUT,
                                                1,
                                                1))));
        double before = servedFraction(result, 0, 6);
        assertTrue(
                before > 0.9 && servedFraction(result, 6, 11) < before,
                before
                        + " served in time before the zone failed, during the failure "
                        + result.statistics().served(6, 11));
        assertTrue(
                servedFraction(result, 20, 24) > 0.75,
                "served in time after both faults: " + result.statistics().served(20, 24));
    }

    /**
     * A fifth of the caches stops answering without resetting connections. Most reads must still be
     * served, and service must recover after the fault.
     */
    @Test
    void aFifthOfTheCachesBecomesUnresponsive() {
        Emulation.Result result =
                simulate(
                        new Fault(
                                6 * NANOS_PER_SECOND,
                                6 * NANOS_PER_SECOND,
                                FaultKind.CACHE_SILENT,
                                0.2,
                                1));
        assertTrue(
                servedFraction(result, 6, 12) > 0.65,
                "served in time during the fault: " + result.statistics().served(6, 12));
        assertTrue(
                servedFraction(result, 16, 24) > 0.95,
                "served in time after the fault: " + result.statistics().served(16, 24));
    }

    /** With too few samples for a useful latency digest, a balancer must still serve. */
    @Test
    void balancersWithOneRequestASecondServe() {
        Emulation.Result result = Emulation.simulate(model(300, 300, 1, List.of()));
        assertTrue(
                servedFraction(result, 2, 24) > 0.93,
                result.statistics().served(2, 24) + " in time");
    }

    /**
     * The endpoint list is late by several seconds, so at some of its addresses another cache
     * already answers.
     */
    @Test
    void anOutdatedListNamesAnAddressReusedByAnotherCache() {
        Emulation.Result result =
                simulate(
                        new Fault(
                                4 * NANOS_PER_SECOND,
                                14 * NANOS_PER_SECOND,
                                FaultKind.DISCOVERY_LATE,
                                1,
                                3),
                        new Fault(
                                5 * NANOS_PER_SECOND,
                                7 * NANOS_PER_SECOND,
                                FaultKind.CACHE_REPLACE,
                                0.6,
                                12));
        assertTrue(
                servedFraction(result, 0, 24) > 0.4 && result.listEntriesSent() > 100 * 36,
                result.listEntriesSent() + " list entries sent");
    }

    /** The overload by rejected clients that retry without delay must end with the fault. */
    @Test
    void clientsThatRetryAtOnceDoNotKeepTheFleetDown() {
        Emulation.Result result =
                simulate(
                        new Fault(
                                5 * NANOS_PER_SECOND,
                                5 * NANOS_PER_SECOND,
                                FaultKind.SURGE,
                                1,
                                2.5),
                        new Fault(
                                5 * NANOS_PER_SECOND,
                                5 * NANOS_PER_SECOND,
                                FaultKind.CLIENTS_EAGER,
                                1,
                                5));
        assertTrue(
                servedFraction(result, 5, 10) < 0.9 && servedFraction(result, 17, 24) > 0.9,
                "served in time after the fault: " + result.statistics().served(17, 24));
    }

    /** Applies administrative drains, lost answers, early disconnects and other faults in turn. */
    @Test
    void noFaultViolatesAnInvariant() {
        List<Fault> faults = new ArrayList<>();
        for (FaultKind kind :
                List.of(
                        FaultKind.HOLD,
                        FaultKind.CACHE_KILL,
                        FaultKind.ANSWERS_LOST,
                        FaultKind.LINKS_RESET,
                        FaultKind.CLIENTS_HASTY,
                        FaultKind.TENANT_SURGE,
                        FaultKind.ZONE_SHIFT,
                        FaultKind.BALANCER_WAVE,
                        FaultKind.CACHE_FAILING)) {
            faults.add(
                    new Fault(
                            (1 + 2L * faults.size()) * NANOS_PER_SECOND,
                            2 * NANOS_PER_SECOND,
                            kind,
                            0.2,
                            2));
        }
        assertTrue(servedFraction(Emulation.simulate(model(60, 600, 3, faults)), 0, 24) > 0.6);
    }

    /**
     * Discovery processes calls in sequence. A call that would wait longer than the time-out fails,
     * and its caller learns of it only at the time-out.
     */
    @Test
    void discoveryProcessesCallsInSequence() {
        Timeline timeline = new Timeline();
        SimDiscovery discovery =
                new SimDiscovery(
                        timeline, new SystemModel.Discovery(0, 10, 2 * NANOS_PER_SECOND), 1, 3, 4);
        List<String> notifications = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            discovery.subscribe(
                    0,
                    (now, mode, servers) ->
                            notifications.add(mode + " " + now / (100 * NANOS_PER_MILLI)));
        }
        timeline.runUntil(10 * NANOS_PER_SECOND);
        assertEquals(30, notifications.size());
        assertEquals(
                21,
                notifications.stream().filter(one -> one.startsWith("FULL")).count(),
                notifications.toString());
        assertTrue(
                notifications.contains("FULL 21") && notifications.contains("FAILED 20"),
                notifications.toString());
        assertEquals(21 * 3, discovery.entriesSent());
        assertEquals(9, discovery.failedCalls());
    }

    /**
     * After any sequence of operations, a cache must count as many connections as the balancers
     * have to it, within its limit.
     */
    @Property(tries = 200, seed = "20261201")
    void cacheAndBalancerConnectionCountsAgree(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 6) int maxPerCache,
            @ForAll @IntRange(min = 1, max = 8) int maxPerBalancer) {
        Random random = new Random(seed);
        Timeline timeline = new Timeline();
        SystemModel.Connections spec =
                new SystemModel.Connections(true, 1, 1, 1, 1_000, maxPerCache, maxPerBalancer);
        List<SimCache> caches = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            caches.add(
                    new SimCache(
                            new SystemModel.Cache(
                                    1, 4, 0, 4, SystemModel.Eviction.LRU, 1, 1, false, false),
                            i,
                            maxPerCache,
                            timeline,
                            new SimOrigin(new SystemModel.Origin(1, 1, 1, 0, 0), timeline, 1),
                            new int[8],
                            null));
        }
        List<SimConnectionPool> balancers =
                List.of(new SimConnectionPool(spec, caches), new SimConnectionPool(spec, caches));
        List<int[]> busy = new ArrayList<>();
        for (long now = 1; now < 300; now += 1 + random.nextInt(40)) {
            int balancerIndex = random.nextInt(2);
            int cacheIndex = random.nextInt(3);
            SimConnectionPool pool = balancers.get(balancerIndex);
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    if (pool.tryAcquireIdle(now, cacheIndex)) {
                        busy.add(
                                new int[] {
                                    balancerIndex, cacheIndex, pool.incarnation(cacheIndex)
                                });
                    } else if (pool.ensureCapacity(now)) {
                        pool.onConnectStarted();
                        if (caches.get(cacheIndex).acceptConnection()) {
                            pool.onConnected(now, cacheIndex);
                            busy.add(
                                    new int[] {
                                        balancerIndex, cacheIndex, pool.incarnation(cacheIndex)
                                    });
                        } else {
                            pool.onConnectFailed();
                        }
                    }
                }
                case 2, 3 -> {
                    if (!busy.isEmpty()) {
                        int[] one = busy.remove(random.nextInt(busy.size()));
                        if (random.nextBoolean()) {
                            balancers.get(one[0]).release(now, one[1], one[2]);
                        } else {
                            balancers.get(one[0]).close(one[1], one[2]);
                        }
                    }
                }
                case 4 -> {
                    caches.get(cacheIndex).kill(now);
                    caches.get(cacheIndex).start(now);
                }
                default -> pool.closeIdle(cacheIndex);
            }
            // Checked only sometimes, because the check itself makes a balancer notice an ended
            // process.
            if (random.nextInt(3) > 0) {
                continue;
            }
            for (SimConnectionPool one : balancers) {
                one.ensureCapacity(now);
                assertTrue(
                        one.totalConnections() <= maxPerBalancer && one.totalConnections() >= 0,
                        "connections of a balancer: "
                                + one.totalConnections()
                                + ", allowed 0 to "
                                + maxPerBalancer);
            }
            for (int i = 0; i < 3; i++) {
                int both =
                        balancers.get(0).openConnections(now, i)
                                + balancers.get(1).openConnections(now, i);
                assertEquals(both, caches.get(i).connectionCount());
                assertFalse(both > maxPerCache);
            }
        }
    }
}
