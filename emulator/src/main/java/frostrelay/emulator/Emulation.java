package frostrelay.emulator;

import frostrelay.policy.Api;
import frostrelay.policy.Router;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.PermutationSampler;

/** One day of a plant, from its first request until the last has ended. The same plant gives the same figures. */
public final class Emulation {
    private static final long SECOND = 1_000_000_000L;
    private static final long REPEAT_WINDOW = 8 * SECOND;

    /** What a day came to. {@code wall}: nanoseconds that it took to emulate. */
    public record Result(Figures figures, long events, long sends, long copies, long hits, long misses, long turnedAway,
                         long fetches, long falls, long lastCalls, long wall) {
        /** The share of reads at caches that were served from memory. */
        public double hitShare() {
            return hits + misses == 0 ? 0 : hits / (double) (hits + misses);
        }

        /** Sends beyond the first, for each try. */
        public double copyShare() {
            return figures.tries() == 0 ? 0 : copies / (double) figures.tries();
        }

        /**
         * Seconds from the end of a trigger until a whole span of five seconds is served as well as 95% of what was
         * before it; -1 if that does not come.
         */
        public int recovery(int trigger, int end) {
            double before = figures.served(Math.max(0, trigger - 10), trigger);
            for (int second = end; second + 5 < figures.seconds(); second++) {
                if (figures.served(second, second + 5) >= 0.95 * before) {
                    return second - end;
                }
            }
            return -1;
        }
    }

    private final Plant plant;
    private final Timeline timeline = new Timeline();
    private final Figures figures;
    private final SimOrigin origin;
    private final SimDiscovery discovery;
    private final List<SimCache> caches = new ArrayList<>();
    private final List<SimBalancer> balancers = new ArrayList<>();
    private final SimClients clients;
    private final UniformRandomProvider random;

    private Emulation(Plant plant, SimBalancer.Module module) {
        this.plant = plant;
        figures = new Figures(plant.length());
        random = Randoms.of(plant.seed(), "faults");
        origin = new SimOrigin(plant.origin(), timeline, plant.seed());
        discovery = new SimDiscovery(timeline, plant.caches(), plant.discoveryLateness());
        Wire wire = new Wire(plant.network(), plant.seed());
        int[] versions = new int[plant.clients().keys()];
        Map<Long, Integer> places = new HashMap<>();
        for (int i = 0; i < plant.caches(); i++) {
            SimCache cache = new SimCache(plant.cache(), timeline, origin, versions);
            caches.add(cache);
            places.put(SimDiscovery.id(i), i);
            if (plant.cache().filled()) {
                for (int key = Math.min(plant.cache().memory(), versions.length) - 1; key >= 0; key--) {
                    cache.fill(key);
                }
            }
        }
        for (int i = 0; i < plant.balancers(); i++) {
            balancers.add(new SimBalancer(plant.balancer(), timeline, wire, discovery, caches, places, module,
                    settings(plant, i), plant.seed() * 31 + i));
        }
        clients = new SimClients(plant, timeline, wire, balancers, figures);
    }

    /** Plays a day with the real decision module. */
    public static Result play(Plant plant) {
        return play(plant, Router::new);
    }

    /** Plays a day with another module, to compare. */
    static Result play(Plant plant, SimBalancer.Module module) {
        long start = System.nanoTime();
        return new Emulation(plant, module).run(start);
    }

    private Result run(long start) {
        clients.start();
        plant.faults().forEach(fault -> timeline.at(fault.at(), now -> apply(now, fault)));
        timeline.run(plant.length());
        for (long at = plant.length(); clients.open() > 0; at += SECOND) {
            timeline.run(at);
        }
        return new Result(figures, timeline.happened(), balancers.stream().mapToLong(SimBalancer::sends).sum(),
                balancers.stream().mapToLong(SimBalancer::copies).sum(),
                caches.stream().mapToLong(SimCache::hits).sum(), caches.stream().mapToLong(SimCache::misses).sum(),
                caches.stream().mapToLong(SimCache::turnedAway).sum(), origin.calls(), origin.falls(),
                balancers.stream().mapToLong(SimBalancer::lastCalls).sum(), System.nanoTime() - start);
    }

    private void apply(long now, Plant.Fault fault) {
        int all = fault.kind() == Plant.Kind.BALANCER_RESTART ? balancers.size() : caches.size();
        int some = Math.min(all, Math.max(1, (int) Math.round(all * fault.part())));
        int[] met = new PermutationSampler(random, all, some).sample();
        set(now, fault, met, true);
        if (fault.length() > 0) {
            timeline.at(now + fault.length(), then -> set(then, fault, met, false));
        }
    }

    private void set(long now, Plant.Fault fault, int[] met, boolean on) {
        switch (fault.kind()) {
            case ORIGIN_OUTAGE -> {
                if (on) {
                    origin.stop(now, fault.length());
                }
            }
            case DISCOVERY_OUTAGE -> discovery.outage(now, on);
            case SURGE -> clients.surge(on ? fault.factor() : 1);
            default -> {
                for (int place : met) {
                    one(now, fault, place, on);
                }
            }
        }
    }

    private void one(long now, Plant.Fault fault, int place, boolean on) {
        switch (fault.kind()) {
            case CACHE_SLOW -> caches.get(place).slow(on ? fault.factor() : 1);
            case COPIES_RELEASED -> {
                if (on) {
                    caches.get(place).release();
                }
            }
            case CACHE_KILL, CACHE_RESTART -> {
                if (on) {
                    caches.get(place).kill(now);
                    discovery.change(now, place, Api.State.GONE, 0);
                }
                if (!on || fault.length() == 0 && fault.kind() == Plant.Kind.CACHE_RESTART) {
                    caches.get(place).start(now);
                    discovery.change(now, place, Api.State.READY, now);
                }
            }
            default -> {
                if (on) {
                    balancers.get(place).kill(now);
                }
                if (!on || fault.length() == 0) {
                    balancers.get(place).start(now);
                }
            }
        }
    }

    private static Api.Settings settings(Plant plant, int rank) {
        List<Api.RequestClass> classes = new ArrayList<>();
        for (Plant.Load load : plant.classes()) {
            classes.add(new Api.RequestClass(load.aim(), 0, load.deadline(), load.worth(), 0.3, load.effect(),
                    Api.Group.ALL, REPEAT_WINDOW, false, false));
        }
        return new Api.Settings(classes, List.of(), 0, rank, plant.balancers(), false, -1, true,
                plant.balancer().maxAttempts(), plant.balancer().hedges(), true, true, SECOND, SECOND / 2, 5 * SECOND,
                plant.cache().coldFrom(), Math.max(1, plant.cache().warmWithin()), 4, SECOND, 1, SECOND, null,
                new Api.ReportLayout(-1, -1, -1));
    }
}
