package frostrelay.emulator;

import frostrelay.policy.Api;
import java.util.List;

/**
 * What is emulated: machines, clients and what goes wrong. Times in nanoseconds, rates a second. The same {@code seed}
 * gives the same day, whatever runs beside it.
 */
public record Plant(long seed, long length, int balancers, int caches, Cache cache, Origin origin, Network network,
                    Clients clients, Balancer balancer, long discoveryLateness, List<Load> classes,
                    List<Fault> faults) {
    /** The same plant with other draws. */
    public Plant seeded(long fresh) {
        return new Plant(fresh, length, balancers, caches, cache, origin, network, clients, balancer, discoveryLateness,
                classes, faults);
    }

    /** How work varies: an exponential, or always the mean. */
    public enum Spread { EXPONENTIAL, FIXED }

    /**
     * A cache. {@code cores} serve one request each in the order of arrival, {@code queue} more wait; {@code memory}:
     * objects kept, those used longest ago go first; it starts at {@code coldFrom} of its speed and is warm
     * {@code warmWithin} later; {@code coalesce}: misses of one key share a fetch; {@code filled}: holds the most popular
     * keys at the day's start.
     */
    public record Cache(int cores, int queue, int memory, double coldFrom, long warmWithin, boolean coalesce,
                        boolean filled) {
    }

    /**
     * The origin. {@code places} fetches at once, each {@code time} long on the mean, {@code queue} more wait; sent
     * {@code fallMultiple} times what it can do over a second it stops for {@code fallTime}; 0 for never.
     */
    public record Origin(int places, long time, int queue, double fallMultiple, long fallTime) {
    }

    /** One way takes {@code delay} and up to {@code jitter} more; {@code loss}: the part of messages to caches lost. */
    public record Network(long delay, long jitter, double loss) {
    }

    /**
     * Clients. {@code rate} of first tries over all; {@code keys} with Zipf exponent {@code zipf}; up to {@code retries}
     * further tries after {@code backoff}, doubled each time; a try is given up after {@code patience} of the deadline;
     * {@code comeAgain}: whether they wait as long as a refusal says.
     */
    public record Clients(double rate, int keys, double zipf, int retries, long backoff, double patience,
                          boolean comeAgain) {
    }

    /** {@code cost}: nanoseconds of its one core for each request and each outcome. */
    public record Balancer(long cost, int maxAttempts, boolean hedges) {
    }

    /** A class. {@code share} of all; {@code work}: mean nanoseconds of a cache's core. */
    public record Load(double share, long work, Spread spread, long aim, long deadline, double worth, Api.Effect effect) {
    }

    /** What can go wrong. */
    public enum Kind { CACHE_KILL, CACHE_RESTART, CACHE_SLOW, ORIGIN_OUTAGE, DISCOVERY_OUTAGE, BALANCER_RESTART, SURGE,
        COPIES_RELEASED }

    /** From {@code at} for {@code length}; {@code part}: of the machines it meets; {@code factor}: how much. */
    public record Fault(long at, long length, Kind kind, double part, double factor) {
    }
}
