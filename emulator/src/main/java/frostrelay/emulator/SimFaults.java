package frostrelay.emulator;

import frostrelay.policy.api.EndpointState;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.PermutationSampler;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Injects the faults of a system model and ends them. */
final class SimFaults {
    /** Time for which a replaced cache drains before it is stopped. */
    private static final long DRAIN_NANOS = 2_000_000_000L;

    /** One replacement out of this many takes over the address of the cache it replaces. */
    private static final int ADDRESS_REUSE_INTERVAL = 3;

    /** Fraction of its requests that a failing cache fails. */
    private static final double FAILURE_FRACTION = 0.9;

    private final SystemModel model;
    private final Timeline timeline;
    private final NetworkDelays networkDelays;
    private final SimOrigin origin;
    private final SimDiscovery discovery;
    private final List<SimCache> caches;
    private final List<SimCache> cacheAtAddress;
    private final List<SimBalancer> balancers;
    private final SimClients clients;
    private final UniformRandomProvider random;
    private final Set<Long> adminDrainedServers = new HashSet<>();

    /** Index of the next replacement cache. */
    private int nextReplacementIndex;

    SimFaults(
            SystemModel model,
            Timeline timeline,
            NetworkDelays networkDelays,
            SimOrigin origin,
            SimDiscovery discovery,
            List<SimCache> caches,
            List<SimCache> cacheAtAddress,
            List<SimBalancer> balancers,
            SimClients clients) {
        this.model = model;
        this.timeline = timeline;
        this.networkDelays = networkDelays;
        this.origin = origin;
        this.discovery = discovery;
        this.caches = caches;
        this.cacheAtAddress = cacheAtAddress;
        this.balancers = balancers;
        this.clients = clients;
        random = RandomStreams.create(model.seed(), "faults");
        nextReplacementIndex = model.cacheCount();
    }

    /** Schedules each fault at its start time. */
    void scheduleAll() {
        model.faults()
                .forEach(
                        fault ->
                                timeline.schedule(
                                        model.warmupNanos() + fault.startNanos(),
                                        now -> apply(now, fault)));
    }

    private void apply(long now, SystemModel.Fault fault) {
        boolean targetsBalancers =
                fault.kind() == SystemModel.FaultKind.BALANCER_RESTART
                        || fault.kind() == SystemModel.FaultKind.BALANCER_WAVE;
        int machineCount = targetsBalancers ? balancers.size() : model.cacheCount();
        int[] targets =
                new PermutationSampler(random, machineCount, fault.targetCount(machineCount))
                        .sample();
        int zone = model.zoneCount() == 1 ? 0 : random.nextInt(model.zoneCount());
        switch (fault.kind()) {
            case CACHE_REPLACE -> applyInSteps(now, fault, targets, this::replaceCache);
            case BALANCER_WAVE ->
                    applyInSteps(
                            now,
                            fault,
                            targets,
                            (then, index) ->
                                    balancers.get(index).restart(then, maxDeadlineNanos()));
            case ZONE_LOST -> failZone(now, fault, zone);
            default -> {
                setFault(now, fault, targets, zone, true);
                if (fault.durationNanos() > 0) {
                    timeline.schedule(
                            now + fault.durationNanos(),
                            then -> setFault(then, fault, targets, zone, false));
                }
            }
        }
    }

    private interface Step {
        void apply(long now, int index);
    }

    private void applyInSteps(long now, SystemModel.Fault fault, int[] targets, Step step) {
        int stepCount = fault.stepCount();
        for (int i = 0; i < targets.length; i++) {
            int index = targets[i];
            timeline.schedule(
                    now
                            + fault.durationNanos()
                                    * ((long) i * stepCount / targets.length)
                                    / stepCount,
                    then -> step.apply(then, index));
        }
    }

    private long maxDeadlineNanos() {
        return model.requestClasses().stream()
                .mapToLong(SystemModel.RequestClass::deadlineNanos)
                .max()
                .orElse(0);
    }

    /**
     * Drains and then removes a cache; a replacement with a new id starts at once. Some
     * replacements take over its address.
     */
    private void replaceCache(long now, int index) {
        int replacementIndex = nextReplacementIndex++;
        discovery.scheduleUpdate(now, index, EndpointState.DRAINING, 0);
        caches.get(replacementIndex).startAsReplacement(now);
        discovery.scheduleUpdate(now, replacementIndex, EndpointState.READY, now);
        timeline.schedule(
                now + DRAIN_NANOS,
                then -> {
                    caches.get(index).kill(then);
                    discovery.scheduleUpdate(then, index, EndpointState.REMOVED, 0);
                    if (replacementIndex % ADDRESS_REUSE_INTERVAL == 0) {
                        cacheAtAddress.set(index, caches.get(replacementIndex));
                    }
                });
    }

    /**
     * Fails all caches and balancers of a zone. In a model with one zone, a fraction of the caches
     * fails instead.
     */
    private void failZone(long now, SystemModel.Fault fault, int zone) {
        if (model.zoneCount() == 1) {
            int[] targets =
                    new PermutationSampler(
                                    random,
                                    model.cacheCount(),
                                    fault.targetCount(model.cacheCount()))
                            .sample();
            Arrays.stream(targets).forEach(index -> takeCacheDown(now, fault, index));
            return;
        }
        for (int index = zone; index < model.cacheCount(); index += model.zoneCount()) {
            takeCacheDown(now, fault, index);
        }
        for (int index = zone; index < balancers.size(); index += model.zoneCount()) {
            SimBalancer balancer = balancers.get(index);
            balancer.kill(now);
            timeline.schedule(now + fault.durationNanos(), balancer::start);
        }
    }

    private void takeCacheDown(long now, SystemModel.Fault fault, int index) {
        caches.get(index).kill(now);
        discovery.scheduleUpdate(now, index, EndpointState.REMOVED, 0);
        timeline.schedule(now + fault.durationNanos(), then -> bringCacheUp(then, index));
    }

    private void bringCacheUp(long now, int index) {
        caches.get(index).start(now);
        discovery.scheduleUpdate(now, index, EndpointState.READY, now);
    }

    private void setFault(
            long now, SystemModel.Fault fault, int[] targets, int zone, boolean isActive) {
        switch (fault.kind()) {
            case ORIGIN_OUTAGE -> {
                if (isActive) {
                    origin.startOutage(now, fault.durationNanos());
                }
            }
            case ORIGIN_SLOW -> origin.setSlowdownFactor(isActive ? fault.factor() : 1);
            case DISCOVERY_OUTAGE -> discovery.setOutage(now, isActive);
            case DISCOVERY_LATE -> discovery.setDelayFactor(isActive ? fault.factor() : 1);
            case DISCOVERY_SHORT -> discovery.setCallCostFactor(isActive ? fault.factor() : 1);
            case SURGE -> clients.setRateFactor(isActive ? fault.factor() : 1);
            case TENANT_SURGE -> clients.setFirstTenantFactor(isActive ? fault.factor() : 1);
            case CLIENTS_EAGER -> clients.setRetryFactor(isActive ? fault.factor() : 1);
            case CLIENTS_HASTY -> clients.setImpatienceFactor(isActive ? fault.factor() : 1);
            case ZONE_SHIFT ->
                    clients.frontend().shiftTraffic(zone, isActive ? fault.machineFraction() : 0);
            case ZONE_CUT -> networkDelays.setPartitioned(zone, isActive);
            case ANSWERS_LOST ->
                    networkDelays.setResponseLoss(isActive ? fault.machineFraction() : 0);
            case LINKS_RESET ->
                    networkDelays.setResetFraction(isActive ? fault.machineFraction() : 0);
            case HOLD -> setAdminDrains(now, targets, isActive);
            default -> {
                for (int index : targets) {
                    setMachineFault(now, fault, index, isActive);
                }
            }
        }
    }

    /**
     * Drains caches administratively, or restarts them and ends the drain; they restart with empty
     * memory.
     */
    private void setAdminDrains(long now, int[] targets, boolean isActive) {
        for (int index : targets) {
            if (isActive) {
                adminDrainedServers.add(SimDiscovery.serverId(index));
            } else {
                adminDrainedServers.remove(SimDiscovery.serverId(index));
                caches.get(index).kill(now);
                bringCacheUp(now, index);
            }
        }
        balancers.forEach(balancer -> balancer.applyAdminDrains(now, adminDrainedServers));
    }

    private void setMachineFault(long now, SystemModel.Fault fault, int index, boolean isActive) {
        SimCache cache =
                fault.kind() == SystemModel.FaultKind.BALANCER_RESTART ? null : caches.get(index);
        switch (fault.kind()) {
            case CACHE_SLOW -> cache.setSlowdownFactor(isActive ? fault.factor() : 1);
            case CACHE_SILENT -> cache.setUnresponsive(isActive);
            case CACHE_FAILING -> cache.setFailureFraction(isActive ? FAILURE_FRACTION : 0);
            case WRONG_ENTRIES -> discovery.setFalselyRemoved(now, index, isActive);
            // Half of the balancers cannot reach these caches, so the two halves observe different
            // states.
            case PARTITION ->
                    balancers
                            .subList(0, (balancers.size() + 1) / 2)
                            .forEach(balancer -> balancer.setPartitioned(index, isActive));
            case COPIES_RELEASED -> {
                if (isActive) {
                    cache.invalidateAll();
                }
            }
            case CACHE_DRAIN -> {
                if (isActive) {
                    discovery.scheduleUpdate(now, index, EndpointState.DRAINING, 0);
                } else {
                    cache.kill(now);
                    bringCacheUp(now, index);
                }
            }
            case CACHE_KILL, CACHE_RESTART -> {
                if (isActive) {
                    cache.kill(now);
                    discovery.scheduleUpdate(now, index, EndpointState.REMOVED, 0);
                }
                if (!isActive
                        || fault.durationNanos() == 0
                                && fault.kind() == SystemModel.FaultKind.CACHE_RESTART) {
                    bringCacheUp(now, index);
                }
            }
            default -> {
                if (isActive) {
                    balancers.get(index).kill(now);
                }
                if (!isActive || fault.durationNanos() == 0) {
                    balancers.get(index).start(now);
                }
            }
        }
    }
}
