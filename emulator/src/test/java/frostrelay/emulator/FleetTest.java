package frostrelay.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.emulator.Plant.Fault;
import frostrelay.emulator.Plant.Kind;
import frostrelay.policy.Api;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** What a hundred balancers that see little each do to caches, to discovery and to one another. */
class FleetTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    private static Plant plant(int balancers, double rate, int zones, List<Fault> faults) {
        return new Plant(
                7,
                15 * SECOND,
                24 * SECOND,
                balancers,
                60,
                zones,
                new Plant.Cache(
                        1, 16, 0.01, 200, Plant.Eviction.LRU, 0.2, 15 * SECOND, false, false),
                new Plant.Origin(16, 70 * MS, 120, 0, 0),
                new Plant.Network(MS / 2, MS / 2, 2 * MS, 0),
                new Plant.Links(true, 4 * MS, 4 * MS, 250 * MS, 15 * SECOND, 120, 280),
                new Plant.Clients(
                        rate, 0, SECOND, 0, 1_000, 0.95, 10, 2, 120 * MS, 0.65, true, 0.5),
                new Plant.Balancer(400_000, 4, true),
                new Plant.Discovery(1_500 * MS, 400, 2 * SECOND),
                List.of(0.6, 0.4),
                List.of(
                        new Plant.Load(
                                0.95,
                                25 * MS,
                                Plant.Spread.EXPONENTIAL,
                                340 * MS,
                                SECOND,
                                1,
                                Api.Effect.RETRYABLE),
                        new Plant.Load(
                                0.05,
                                40 * MS,
                                Plant.Spread.FIXED,
                                710 * MS,
                                1_670 * MS,
                                3,
                                Api.Effect.FRAGILE)),
                faults);
    }

    private static Emulation.Result play(Fault... faults) {
        return Emulation.play(plant(100, 800, 1, List.of(faults)));
    }

    private static double served(Emulation.Result day, int from, int to) {
        assertEquals(Map.of(), day.rulesBroken());
        Figures all = day.figures();
        assertEquals(all.asked(), all.inTime() + all.late() + all.refused() + all.failed());
        return all.served(from, to);
    }

    /**
     * What they held is asked again; all seventy call at once, some in vain, and nobody stays
     * without a list.
     */
    @Test
    void seventyBalancersDieAtOnceWhileDiscoveryIsFull() {
        Emulation.Result day =
                play(
                        new Fault(5 * SECOND, 12 * SECOND, Kind.DISCOVERY_SHORT, 1, 16),
                        new Fault(8 * SECOND, SECOND, Kind.BALANCER_RESTART, 0.7, 1));
        assertTrue(served(day, 8, 12) > 0.7, "meanwhile " + day.figures().served(8, 12));
        assertTrue(served(day, 18, 24) > 0.9, "after it " + day.figures().served(18, 24));
    }

    /**
     * Lost and back cold, with all balancers eager for it: nothing cold is pushed over by them
     * together.
     */
    @Test
    void aZoneIsLostAndComesBackCold() {
        Emulation.Result day =
                Emulation.play(
                        plant(
                                100,
                                700,
                                3,
                                List.of(
                                        new Fault(6 * SECOND, 5 * SECOND, Kind.ZONE_LOST, 1, 1),
                                        new Fault(15 * SECOND, 3 * SECOND, Kind.ZONE_CUT, 1, 1))));
        double before = served(day, 0, 6);
        assertTrue(
                before > 0.9 && served(day, 6, 11) < before,
                before + ", while it is lost " + day.figures().served(6, 11));
        assertTrue(served(day, 20, 24) > 0.75, "after both " + day.figures().served(20, 24));
    }

    /**
     * No reset and no answer from a fifth of the caches: most reads are saved, and it is over when
     * it is over.
     */
    @Test
    void aFifthOfTheCachesFallsSilent() {
        Emulation.Result day = play(new Fault(6 * SECOND, 6 * SECOND, Kind.CACHE_SILENT, 0.2, 1));
        assertTrue(served(day, 6, 12) > 0.65, "meanwhile " + day.figures().served(6, 12));
        assertTrue(served(day, 16, 24) > 0.95, "after it " + day.figures().served(16, 24));
    }

    /**
     * A balancer with one request a second has no digest to speak of and knows no cache well; it
     * serves all the same.
     */
    @Test
    void balancersWithOneRequestASecondServe() {
        Emulation.Result day = Emulation.play(plant(300, 300, 1, List.of()));
        assertTrue(served(day, 2, 24) > 0.93, "" + day.figures().served(2, 24));
    }

    /**
     * Balancers go by a list that is late by seconds; at some addresses in it another cache answers
     * by now.
     */
    @Test
    void anOldListNamesAnAddressThatAnotherCacheHas() {
        Emulation.Result day =
                play(
                        new Fault(4 * SECOND, 14 * SECOND, Kind.DISCOVERY_LATE, 1, 3),
                        new Fault(5 * SECOND, 7 * SECOND, Kind.CACHE_REPLACE, 0.6, 12));
        assertTrue(
                served(day, 0, 24) > 0.4 && day.listLines() > 100 * 36, day.listLines() + " lines");
    }

    /**
     * Refused clients that come again at once make the fleet's load their own; it does not outlast
     * them.
     */
    @Test
    void clientsThatComeAgainAtOnceDoNotKeepTheFleetDown() {
        Emulation.Result day =
                play(
                        new Fault(5 * SECOND, 5 * SECOND, Kind.SURGE, 1, 2.5),
                        new Fault(5 * SECOND, 5 * SECOND, Kind.CLIENTS_EAGER, 1, 5));
        assertTrue(
                served(day, 5, 10) < 0.9 && served(day, 17, 24) > 0.9,
                "after it " + day.figures().served(17, 24));
    }

    /**
     * Caches under ids that come back, operators' holds, late answers and early leavers, one after
     * another.
     */
    @Test
    void everyFleetFaultKeepsTheRules() {
        List<Fault> faults = new ArrayList<>();
        for (Kind kind :
                List.of(
                        Kind.HOLD,
                        Kind.CACHE_KILL,
                        Kind.ANSWERS_LOST,
                        Kind.LINKS_RESET,
                        Kind.CLIENTS_HASTY,
                        Kind.TENANT_SURGE,
                        Kind.ZONE_SHIFT,
                        Kind.BALANCER_WAVE,
                        Kind.CACHE_FAILING)) {
            faults.add(new Fault((1 + 2L * faults.size()) * SECOND, 2 * SECOND, kind, 0.2, 2));
        }
        assertTrue(served(Emulation.play(plant(60, 600, 3, faults)), 0, 24) > 0.6);
    }

    /**
     * A call waits its turn; those that would wait longer than discovery's callers do fail, at once
     * known to nobody.
     */
    @Test
    void discoveryWorksThroughCallsInTurn() {
        Timeline timeline = new Timeline();
        SimDiscovery discovery =
                new SimDiscovery(timeline, new Plant.Discovery(0, 10, 2 * SECOND), 1, 3, 4);
        List<String> told = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            discovery.subscribe(0, (now, mode, servers) -> told.add(mode + " " + now / (100 * MS)));
        }
        timeline.run(10 * SECOND);
        assertEquals(30, told.size());
        assertEquals(
                21, told.stream().filter(one -> one.startsWith("FULL")).count(), told.toString());
        assertTrue(told.contains("FULL 21") && told.contains("FAILED 20"), told.toString());
        assertEquals(21 * 3, discovery.lines());
        assertEquals(9, discovery.failed());
    }

    /**
     * Whatever happens in whatever order, a cache holds as many connections as balancers have to
     * it, and no more than it may.
     */
    @Property(tries = 200, seed = "20261201")
    void connectionsAreCountedTheSameOnBothSides(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 6) int atCache,
            @ForAll @IntRange(min = 1, max = 8) int atBalancer) {
        Random random = new Random(seed);
        Timeline timeline = new Timeline();
        Plant.Links spec = new Plant.Links(true, 1, 1, 1, 1_000, atCache, atBalancer);
        List<SimCache> caches = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            caches.add(
                    new SimCache(
                            new Plant.Cache(1, 4, 0, 4, Plant.Eviction.LRU, 1, 1, false, false),
                            i,
                            atCache,
                            timeline,
                            new SimOrigin(new Plant.Origin(1, 1, 1, 0, 0), timeline, 1),
                            new int[8],
                            null));
        }
        List<SimLinks> balancers = List.of(new SimLinks(spec, caches), new SimLinks(spec, caches));
        List<int[]> busy = new ArrayList<>();
        for (long now = 1; now < 300; now += 1 + random.nextInt(40)) {
            int who = random.nextInt(2);
            int place = random.nextInt(3);
            SimLinks links = balancers.get(who);
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    if (links.take(now, place)) {
                        busy.add(new int[] {who, place, links.life(place)});
                    } else if (links.room(now)) {
                        links.begin();
                        if (caches.get(place).link()) {
                            links.up(now, place);
                            busy.add(new int[] {who, place, links.life(place)});
                        } else {
                            links.failed();
                        }
                    }
                }
                case 2, 3 -> {
                    if (!busy.isEmpty()) {
                        int[] one = busy.remove(random.nextInt(busy.size()));
                        if (random.nextBoolean()) {
                            balancers.get(one[0]).free(now, one[1], one[2]);
                        } else {
                            balancers.get(one[0]).close(one[1], one[2]);
                        }
                    }
                }
                case 4 -> {
                    caches.get(place).kill(now);
                    caches.get(place).start(now);
                }
                default -> links.closeIdle(place);
            }
            // Not each time: a look is when a balancer finds out that a process is gone.
            if (random.nextInt(3) > 0) {
                continue;
            }
            for (SimLinks one : balancers) {
                one.room(now);
                assertTrue(
                        one.total() <= atBalancer && one.total() >= 0,
                        "a balancer holds " + one.total());
            }
            for (int i = 0; i < 3; i++) {
                int both = balancers.get(0).open(now, i) + balancers.get(1).open(now, i);
                assertEquals(both, caches.get(i).links());
                assertFalse(both > atCache);
            }
        }
    }
}
