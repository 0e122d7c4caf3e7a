package frostrelay.emulator;

import frostrelay.policy.Api;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.PermutationSampler;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Brings a plant's faults about, and undoes them. */
final class SimFaults {
    /** What is replaced is told to drain first. */
    private static final long DRAIN = 2_000_000_000L;

    /** One newcomer in so many takes over the address of the one that it replaces. */
    private static final int REUSED = 3;

    /** The part of its reads that a failing cache fails. */
    private static final double MOST = 0.9;

    private final Plant plant;
    private final Timeline timeline;
    private final Wire wire;
    private final SimOrigin origin;
    private final SimDiscovery discovery;
    private final List<SimCache> caches;
    private final List<SimCache> addresses;
    private final List<SimBalancer> balancers;
    private final SimClients clients;
    private final UniformRandomProvider random;
    private final Set<Long> held = new HashSet<>();

    /** The place of the next newcomer. */
    private int newcomers;

    SimFaults(
            Plant plant,
            Timeline timeline,
            Wire wire,
            SimOrigin origin,
            SimDiscovery discovery,
            List<SimCache> caches,
            List<SimCache> addresses,
            List<SimBalancer> balancers,
            SimClients clients) {
        this.plant = plant;
        this.timeline = timeline;
        this.wire = wire;
        this.origin = origin;
        this.discovery = discovery;
        this.caches = caches;
        this.addresses = addresses;
        this.balancers = balancers;
        this.clients = clients;
        random = Randoms.of(plant.seed(), "faults");
        newcomers = plant.caches();
    }

    /** Each comes at its time from now on. */
    void begin() {
        plant.faults()
                .forEach(
                        fault ->
                                timeline.at(plant.settle() + fault.at(), now -> apply(now, fault)));
    }

    private void apply(long now, Plant.Fault fault) {
        boolean ofBalancers =
                fault.kind() == Plant.Kind.BALANCER_RESTART
                        || fault.kind() == Plant.Kind.BALANCER_WAVE;
        int all = ofBalancers ? balancers.size() : plant.caches();
        int[] met = new PermutationSampler(random, all, fault.count(all)).sample();
        int zone = plant.zones() == 1 ? 0 : random.nextInt(plant.zones());
        switch (fault.kind()) {
            case CACHE_REPLACE -> inSteps(now, fault, met, this::replace);
            case BALANCER_WAVE ->
                    inSteps(
                            now,
                            fault,
                            met,
                            (then, place) -> balancers.get(place).restart(then, longest()));
            case ZONE_LOST -> lose(now, fault, zone);
            default -> {
                set(now, fault, met, zone, true);
                if (fault.length() > 0) {
                    timeline.at(now + fault.length(), then -> set(then, fault, met, zone, false));
                }
            }
        }
    }

    private interface Step {
        void happen(long now, int place);
    }

    private void inSteps(long now, Plant.Fault fault, int[] met, Step step) {
        int steps = fault.steps();
        for (int i = 0; i < met.length; i++) {
            int place = met[i];
            timeline.at(
                    now + fault.length() * ((long) i * steps / met.length) / steps,
                    then -> step.happen(then, place));
        }
    }

    private long longest() {
        return plant.classes().stream().mapToLong(Plant.Load::deadline).max().orElse(0);
    }

    /** It drains and goes; another one under a new id comes at once, some at its address. */
    private void replace(long now, int place) {
        int fresh = newcomers++;
        discovery.change(now, place, Api.State.DRAINING, 0);
        caches.get(fresh).comeIn(now);
        discovery.change(now, fresh, Api.State.READY, now);
        timeline.at(
                now + DRAIN,
                then -> {
                    caches.get(place).kill(then);
                    discovery.change(then, place, Api.State.GONE, 0);
                    if (fresh % REUSED == 0) {
                        addresses.set(place, caches.get(fresh));
                    }
                });
    }

    /** Without zones a part of the caches stands for one. */
    private void lose(long now, Plant.Fault fault, int zone) {
        if (plant.zones() == 1) {
            int[] met =
                    new PermutationSampler(random, plant.caches(), fault.count(plant.caches()))
                            .sample();
            Arrays.stream(met).forEach(place -> outOfService(now, fault, place));
            return;
        }
        for (int place = zone; place < plant.caches(); place += plant.zones()) {
            outOfService(now, fault, place);
        }
        for (int place = zone; place < balancers.size(); place += plant.zones()) {
            SimBalancer balancer = balancers.get(place);
            balancer.kill(now);
            timeline.at(now + fault.length(), balancer::start);
        }
    }

    private void outOfService(long now, Plant.Fault fault, int place) {
        caches.get(place).kill(now);
        discovery.change(now, place, Api.State.GONE, 0);
        timeline.at(now + fault.length(), then -> back(then, place));
    }

    private void back(long now, int place) {
        caches.get(place).start(now);
        discovery.change(now, place, Api.State.READY, now);
    }

    private void set(long now, Plant.Fault fault, int[] met, int zone, boolean on) {
        switch (fault.kind()) {
            case ORIGIN_OUTAGE -> {
                if (on) {
                    origin.stop(now, fault.length());
                }
            }
            case ORIGIN_SLOW -> origin.slow(on ? fault.factor() : 1);
            case DISCOVERY_OUTAGE -> discovery.outage(now, on);
            case DISCOVERY_LATE -> discovery.late(on ? fault.factor() : 1);
            case DISCOVERY_SHORT -> discovery.shortOfRoom(on ? fault.factor() : 1);
            case SURGE -> clients.surge(on ? fault.factor() : 1);
            case TENANT_SURGE -> clients.tenantSurge(on ? fault.factor() : 1);
            case CLIENTS_EAGER -> clients.eager(on ? fault.factor() : 1);
            case CLIENTS_HASTY -> clients.hasty(on ? fault.factor() : 1);
            case ZONE_SHIFT -> clients.front().shift(zone, on ? fault.part() : 0);
            case ZONE_CUT -> wire.cut(zone, on);
            case ANSWERS_LOST -> wire.loseAnswers(on ? fault.part() : 0);
            case LINKS_RESET -> wire.reset(on ? fault.part() : 0);
            case HOLD -> hold(now, met, on);
            default -> {
                for (int place : met) {
                    one(now, fault, place, on);
                }
            }
        }
    }

    /** Operators take caches out of use, restart them and put them back: they come back cold. */
    private void hold(long now, int[] met, boolean on) {
        for (int place : met) {
            if (on) {
                held.add(SimDiscovery.id(place));
            } else {
                held.remove(SimDiscovery.id(place));
                caches.get(place).kill(now);
                back(now, place);
            }
        }
        balancers.forEach(one -> one.hold(now, held));
    }

    private void one(long now, Plant.Fault fault, int place, boolean on) {
        SimCache cache = fault.kind() == Plant.Kind.BALANCER_RESTART ? null : caches.get(place);
        switch (fault.kind()) {
            case CACHE_SLOW -> cache.slow(on ? fault.factor() : 1);
            case CACHE_SILENT -> cache.silent(on);
            case CACHE_FAILING -> cache.failing(on ? MOST : 0);
            case WRONG_ENTRIES -> discovery.slander(now, place, on);
            // Half of the balancers lose sight of these caches: the two sides see different plants.
            case PARTITION ->
                    balancers
                            .subList(0, (balancers.size() + 1) / 2)
                            .forEach(one -> one.cutOff(place, on));
            case COPIES_RELEASED -> {
                if (on) {
                    cache.release();
                }
            }
            case CACHE_DRAIN -> {
                if (on) {
                    discovery.change(now, place, Api.State.DRAINING, 0);
                } else {
                    cache.kill(now);
                    back(now, place);
                }
            }
            case CACHE_KILL, CACHE_RESTART -> {
                if (on) {
                    cache.kill(now);
                    discovery.change(now, place, Api.State.GONE, 0);
                }
                if (!on || fault.length() == 0 && fault.kind() == Plant.Kind.CACHE_RESTART) {
                    back(now, place);
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
}
