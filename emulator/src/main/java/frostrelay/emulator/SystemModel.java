package frostrelay.emulator;

import frostrelay.policy.api.Idempotency;

import java.util.List;

/**
 * The emulated system: machines, clients and faults. Times are in nanoseconds, rates per second.
 * The same {@code seed} reproduces the same run, also with other runs in parallel. During the first
 * {@code warmupNanos} clients send requests and origin fetches take no time, which fills the
 * caches; this period is not counted. Machines are assigned to {@code zoneCount} zones in turn.
 * {@code tenantShares}: fraction of all requests by tenant; empty without tenants.
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
    /** Returns the same model with another random seed. */
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

    /** Returns the same model with other faults. */
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

    /** Returns the number of replacement caches that start during the run. */
    int replacementCount() {
        return faults.stream()
                .filter(fault -> fault.kind() == FaultKind.CACHE_REPLACE)
                .mapToInt(fault -> fault.targetCount(cacheCount))
                .sum();
    }

    /** Returns the mean work of a request in nanoseconds of a cache core. */
    double meanWorkNanos() {
        return requestClasses.stream()
                .mapToDouble(requestClass -> requestClass.fraction() * requestClass.meanWorkNanos())
                .sum();
    }

    /** The distribution of work: exponential, or always the mean. */
    public enum WorkDistribution {
        EXPONENTIAL,
        FIXED
    }

    /** The eviction order: least recently used, or first in, first out. */
    public enum Eviction {
        LRU,
        FIFO
    }

    /**
     * A cache. {@code cores} serve one request each in the order of arrival; up to {@code
     * queueCapacity} more wait, each of which lengthens work by the fraction {@code
     * slowdownPerQueued}; {@code maxObjects}: capacity, with {@code eviction} beyond it; it starts
     * at {@code slowStartInitialFraction} of its speed and reaches full speed after {@code
     * slowStartNanos}; {@code coalescesFetches}: misses of one key share a fetch; {@code
     * isPreloaded}: holds the most popular keys at the start.
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
     * The origin. It runs {@code maxConcurrentFetches} fetches at once with a mean duration of
     * {@code meanFetchNanos}; up to {@code queueCapacity} more wait. If it receives more than
     * {@code overloadMultiple} times its capacity within a second, it stops for {@code
     * overloadOutageNanos}; 0 disables this.
     */
    public record Origin(
            int maxConcurrentFetches,
            long meanFetchNanos,
            int queueCapacity,
            double overloadMultiple,
            long overloadOutageNanos) {}

    /**
     * The network. The one-way delay is {@code delayNanos} plus up to {@code jitterNanos}, plus
     * {@code crossZoneDelayNanos} between zones; {@code lossFraction}: fraction of messages to
     * caches that are lost.
     */
    public record Network(
            long delayNanos, long jitterNanos, long crossZoneDelayNanos, double lossFraction) {}

    /**
     * Connections from balancers to caches, each with one request at a time. A new one takes {@code
     * handshakeNanos} in addition to a round trip, and {@code handshakeWorkNanos} of work at the
     * cache; it fails if not established after {@code connectTimeoutNanos}; idle ones are closed
     * after {@code idleTimeoutNanos}. A cache holds at most {@code maxPerCache}, a balancer {@code
     * maxPerBalancer}. {@code isModelled}: whether connections are modelled; if not, caches accept
     * every request without a connection.
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
     * The discovery service. It publishes changes after {@code delayNanos} and processes {@code
     * callsPerSecond} calls in sequence, 0 for no limit; a call that waits longer than {@code
     * callTimeoutNanos} fails.
     */
    public record Discovery(long delayNanos, double callsPerSecond, long callTimeoutNanos) {}

    /**
     * The clients. {@code requestsPerSecond}: total request rate without retries, which varies by
     * the fraction {@code rateAmplitude} with period {@code ratePeriodNanos}; {@code
     * driftKeysPerSecond}: keys per second that lose their popularity rank to new ones; {@code
     * keyCount} keys with Zipf exponent {@code zipfExponent} and rank offset {@code zipfOffset}; up
     * to {@code maxRetries} retries after {@code initialBackoffNanos}, doubled each time; an
     * attempt times out after {@code timeoutFraction} of the deadline; {@code honorsRetryAfter}:
     * whether clients wait for the time given in a rejection; {@code balancerSkew}: standard
     * deviation of the logarithm of a balancer's share of clients, 0 for equal shares.
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

    /**
     * A balancer. {@code eventCostNanos}: time of its single core for each request and each
     * outcome.
     */
    public record Balancer(long eventCostNanos, int maxAttempts, boolean hedgingEnabled) {}

    /**
     * A request class. {@code fraction}: of all requests; {@code meanWorkNanos}: mean work in
     * nanoseconds of a cache core.
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
     * The kinds of fault. CACHE_REPLACE, BALANCER_WAVE: in {@code factor} steps over the duration;
     * ZONE_LOST: stops the caches and balancers of one zone; ZONE_CUT: partitions one zone from the
     * others; ANSWERS_LOST, LINKS_RESET: affect {@code machineFraction} of requests;
     * DISCOVERY_LATE, DISCOVERY_SHORT: notification delay multiplied by, or calls per second
     * divided by, {@code factor}; CLIENTS_EAGER: clients retry without delay, {@code factor} times
     * as often; CLIENTS_HASTY: client timeouts are divided by {@code factor}; ZONE_SHIFT: {@code
     * machineFraction} of all clients are directed to one zone; TENANT_SURGE: the first tenant's
     * rate is multiplied by {@code factor}; HOLD: caches are administratively drained and
     * restarted; CACHE_FAILING: {@code machineFraction} of caches fail nine of ten requests.
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
     * A fault from {@code startNanos} for {@code durationNanos}. {@code machineFraction}: fraction
     * of the machines affected; {@code factor}: its strength.
     */
    public record Fault(
            long startNanos,
            long durationNanos,
            FaultKind kind,
            double machineFraction,
            double factor) {
        /** Returns the number of machines affected, at least one. */
        int targetCount(int machineCount) {
            return Math.min(
                    machineCount, Math.max(1, (int) Math.round(machineCount * machineFraction)));
        }

        /** Returns the number of steps of a fault that is applied in steps. */
        public int stepCount() {
            return Math.max(1, (int) Math.round(factor));
        }
    }
}
