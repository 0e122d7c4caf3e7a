package frostrelay.emulator;

import frostrelay.policy.api.Idempotency;

import java.util.List;

/**
 * What is emulated: machines, clients and what goes wrong. Times in nanoseconds, rates a second.
 * The same {@code seed} gives the same day, whatever runs beside it. For {@code warmupNanos} before
 * the day requests come and origin fetches take no time, so that caches hold what they would hold;
 * nothing of it is counted. Machines are dealt out over {@code zoneCount} in turn. {@code
 * tenantShares}: the parts of all requests that each asks for; none where there are no tenants.
 */
public record SystemModel(
        long seed,
        long warmupNanos,
        long durationNanos,
        int balancerCount,
        int cacheCount,
        int zoneCount,
        Cache cache,
        Origin origin,
        Network network,
        Connections connections,
        Clients clients,
        Balancer balancer,
        Discovery discovery,
        List<Double> tenantShares,
        List<RequestClass> requestClasses,
        List<Fault> faults) {
    /** The same plant with other draws. */
    public SystemModel withSeed(long newSeed) {
        return new SystemModel(
                newSeed,
                warmupNanos,
                durationNanos,
                balancerCount,
                cacheCount,
                zoneCount,
                cache,
                origin,
                network,
                connections,
                clients,
                balancer,
                discovery,
                tenantShares,
                requestClasses,
                faults);
    }

    /** The same plant with other faults. */
    public SystemModel withFaults(List<Fault> newFaults) {
        return new SystemModel(
                seed,
                warmupNanos,
                durationNanos,
                balancerCount,
                cacheCount,
                zoneCount,
                cache,
                origin,
                network,
                connections,
                clients,
                balancer,
                discovery,
                tenantShares,
                requestClasses,
                newFaults);
    }

    /** Caches that come in the place of others during the day. */
    int replacementCount() {
        return faults.stream()
                .filter(fault -> fault.kind() == FaultKind.CACHE_REPLACE)
                .mapToInt(fault -> fault.targetCount(cacheCount))
                .sum();
    }

    /** Nanoseconds of a cache's core that a request takes on the mean. */
    double meanWorkNanos() {
        return requestClasses.stream()
                .mapToDouble(requestClass -> requestClass.fraction() * requestClass.meanWorkNanos())
                .sum();
    }

    /** How work varies: an exponential, or always the mean. */
    public enum WorkDistribution {
        EXPONENTIAL,
        FIXED
    }

    /** Which of the kept objects goes first: the one used longest ago, or the one kept longest. */
    public enum Eviction {
        LRU,
        FIFO
    }

    /**
     * A cache. {@code cores} serve one request each in the order of arrival, {@code queueCapacity}
     * more wait, each of which makes work longer by {@code slowdownPerQueued} of it; {@code
     * maxObjects}: objects kept, by {@code eviction}; it starts at {@code slowStartInitialFraction}
     * of its speed and is warm {@code warmWithin} later; {@code coalescesFetches}: misses of one
     * key share a fetch; {@code isPreloaded}: holds the most popular keys at the day's start.
     */
    public record Cache(
            int cores,
            int queueCapacity,
            double slowdownPerQueued,
            int maxObjects,
            Eviction eviction,
            double slowStartInitialFraction,
            long slowStartNanos,
            boolean coalescesFetches,
            boolean isPreloaded) {}

    /**
     * The origin. {@code maxConcurrentFetches} fetches at once, each {@code meanFetchNanos} long on
     * the mean, {@code queueCapacity} more wait; sent {@code overloadMultiple} times what it can do
     * over a second it stops for {@code fallTime}; 0 for never.
     */
    public record Origin(
            int maxConcurrentFetches,
            long meanFetchNanos,
            int queueCapacity,
            double overloadMultiple,
            long overloadOutageNanos) {}

    /**
     * One way takes {@code delayNanos} and up to {@code jitterNanos} more, between zones {@code
     * crossZoneDelayNanos} on top; {@code lossFraction}: the part of messages to caches lost.
     */
    public record Network(
            long delayNanos, long jitterNanos, long crossZoneDelayNanos, double lossFraction) {}

    /**
     * Connections from balancers to caches, each with one request at a time. A new one takes {@code
     * handshake} beside a round trip and {@code handshakeWorkNanos} of the cache; one that is not
     * up after {@code timeout} has failed; idle ones are closed after {@code idleTimeoutNanos}. A
     * cache holds {@code maxPerCache}, a balancer {@code maxPerBalancer}. {@code isModelled}:
     * whether there are any; without, every cache takes everything at once.
     */
    public record Connections(
            boolean isModelled,
            long handshakeNanos,
            long handshakeWorkNanos,
            long connectTimeoutNanos,
            long idleTimeoutNanos,
            int maxPerCache,
            int maxPerBalancer) {}

    /**
     * Discovery tells changes after {@code delayNanos}. It works through {@code callsPerSecond} a
     * second in turn, 0 for any number; a call that waits longer than {@code callTimeoutNanos}
     * fails.
     */
    public record Discovery(long delayNanos, double callsPerSecond, long callTimeoutNanos) {}

    /**
     * Clients. {@code requestsPerSecond} of first tries over all, which rises and falls by {@code
     * rateAmplitude} of it once a {@code ratePeriodNanos}; {@code driftKeysPerSecond} keys a second
     * lose their rank to new ones; {@code keyCount} with Zipf exponent {@code zipfExponent}, the
     * first {@code zipfOffset} ranks left out; up to {@code retries} further tries after {@code
     * initialBackoffNanos}, doubled each time; a try is given up after {@code callTimeoutNanos} of
     * the deadline; {@code honorsRetryAfter}: whether they wait as long as a refusal says; {@code
     * balancerSkew}: standard deviation of the logarithm of what a balancer is given, 0 for the
     * same to each.
     */
    public record Clients(
            double requestsPerSecond,
            double rateAmplitude,
            long ratePeriodNanos,
            double driftKeysPerSecond,
            int keyCount,
            double zipfExponent,
            double zipfOffset,
            int maxRetries,
            long initialBackoffNanos,
            double timeoutFraction,
            boolean honorsRetryAfter,
            double balancerSkew) {}

    /** {@code eventCostNanos}: nanoseconds of its one core for each request and each outcome. */
    public record Balancer(long eventCostNanos, int maxAttempts, boolean hedgingEnabled) {}

    /**
     * A class. {@code fraction} of all; {@code handshakeWorkNanos}: mean nanoseconds of a cache's
     * core.
     */
    public record RequestClass(
            double fraction,
            long meanWorkNanos,
            WorkDistribution workDistribution,
            long latencyObjectiveNanos,
            long deadlineNanos,
            double priorityWeight,
            Idempotency idempotency) {}

    /**
     * What can go wrong. CACHE_REPLACE, BALANCER_WAVE: in {@code factor} steps over the length;
     * ZONE_LOST: caches and balancers of one zone; ZONE_CUT: nothing passes between one zone and
     * the others; ANSWERS_LOST, LINKS_RESET: that part of requests; DISCOVERY_LATE,
     * DISCOVERY_SHORT: lateness times, or calls a second divided by, {@code factor}; CLIENTS_EAGER:
     * they come again at once, {@code factor} times as often; CLIENTS_HASTY: they give up that much
     * earlier; ZONE_SHIFT: that part of all clients comes to one zone; TENANT_SURGE: the first
     * tenant asks that much more; HOLD: operators hold caches and restart them meanwhile;
     * CACHE_FAILING: that part of caches fails nine of ten requests.
     */
    public enum FaultKind {
        CACHE_KILL,
        CACHE_RESTART,
        CACHE_SLOW,
        CACHE_SILENT,
        CACHE_DRAIN,
        PARTITION,
        ORIGIN_OUTAGE,
        ORIGIN_SLOW,
        DISCOVERY_OUTAGE,
        WRONG_ENTRIES,
        BALANCER_RESTART,
        SURGE,
        COPIES_RELEASED,
        CACHE_REPLACE,
        CACHE_FAILING,
        BALANCER_WAVE,
        ZONE_LOST,
        ZONE_CUT,
        ZONE_SHIFT,
        ANSWERS_LOST,
        LINKS_RESET,
        DISCOVERY_LATE,
        DISCOVERY_SHORT,
        CLIENTS_EAGER,
        CLIENTS_HASTY,
        TENANT_SURGE,
        HOLD
    }

    /**
     * From {@code startNanos} for {@code durationNanos}; {@code machineFraction}: of the machines
     * it meets; {@code factor}: how much.
     */
    public record Fault(
            long startNanos,
            long durationNanos,
            FaultKind kind,
            double machineFraction,
            double factor) {
        /** How many of all machines it meets, one at least. */
        int targetCount(int machineCount) {
            return Math.min(
                    machineCount, Math.max(1, (int) Math.round(machineCount * machineFraction)));
        }

        /** Steps of a fault that goes on bit by bit. */
        public int stepCount() {
            return Math.max(1, (int) Math.round(factor));
        }
    }
}
