package frostrelay.emulator;

import frostrelay.policy.Api;

import java.util.List;

/**
 * What is emulated: machines, clients and what goes wrong. Times in nanoseconds, rates a second.
 * The same {@code seed} gives the same day, whatever runs beside it. For {@code settle} before the
 * day requests come and origin fetches take no time, so that caches hold what they would hold;
 * nothing of it is counted. Machines are dealt out over {@code zones} in turn. {@code tenants}: the
 * parts of all requests that each asks for; none where there are no tenants.
 */
public record Plant(
        long seed,
        long settle,
        long length,
        int balancers,
        int caches,
        int zones,
        Cache cache,
        Origin origin,
        Network network,
        Links links,
        Clients clients,
        Balancer balancer,
        Discovery discovery,
        List<Double> tenants,
        List<Load> classes,
        List<Fault> faults) {
    /** The same plant with other draws. */
    public Plant seeded(long fresh) {
        return new Plant(
                fresh, settle, length, balancers, caches, zones, cache, origin, network, links,
                clients, balancer, discovery, tenants, classes, faults);
    }

    /** The same plant with other faults. */
    public Plant with(List<Fault> others) {
        return new Plant(
                seed, settle, length, balancers, caches, zones, cache, origin, network, links,
                clients, balancer, discovery, tenants, classes, others);
    }

    /** Caches that come in the place of others during the day. */
    int newcomers() {
        return faults.stream()
                .filter(fault -> fault.kind() == Kind.CACHE_REPLACE)
                .mapToInt(fault -> fault.count(caches))
                .sum();
    }

    /** Nanoseconds of a cache's core that a request takes on the mean. */
    double meanWork() {
        return classes.stream().mapToDouble(load -> load.share() * load.work()).sum();
    }

    /** How work varies: an exponential, or always the mean. */
    public enum Spread {
        EXPONENTIAL,
        FIXED
    }

    /** Which of the kept objects goes first: the one used longest ago, or the one kept longest. */
    public enum Eviction {
        LRU,
        FIFO
    }

    /**
     * A cache. {@code cores} serve one request each in the order of arrival, {@code queue} more
     * wait, each of which makes work longer by {@code crowding} of it; {@code memory}: objects
     * kept, by {@code eviction}; it starts at {@code coldFrom} of its speed and is warm {@code
     * warmWithin} later; {@code coalesce}: misses of one key share a fetch; {@code filled}: holds
     * the most popular keys at the day's start.
     */
    public record Cache(
            int cores,
            int queue,
            double crowding,
            int memory,
            Eviction eviction,
            double coldFrom,
            long warmWithin,
            boolean coalesce,
            boolean filled) {}

    /**
     * The origin. {@code places} fetches at once, each {@code time} long on the mean, {@code queue}
     * more wait; sent {@code fallMultiple} times what it can do over a second it stops for {@code
     * fallTime}; 0 for never.
     */
    public record Origin(int places, long time, int queue, double fallMultiple, long fallTime) {}

    /**
     * One way takes {@code delay} and up to {@code jitter} more, between zones {@code far} on top;
     * {@code loss}: the part of messages to caches lost.
     */
    public record Network(long delay, long jitter, long far, double loss) {}

    /**
     * Connections from balancers to caches, each with one request at a time. A new one takes {@code
     * handshake} beside a round trip and {@code work} of the cache; one that is not up after {@code
     * timeout} has failed; idle ones are closed after {@code idle}. A cache holds {@code atCache},
     * a balancer {@code atBalancer}. {@code modelled}: whether there are any; without, every cache
     * takes everything at once.
     */
    public record Links(
            boolean modelled,
            long handshake,
            long work,
            long timeout,
            long idle,
            int atCache,
            int atBalancer) {}

    /**
     * Discovery tells changes after {@code lateness}. It works through {@code calls} a second in
     * turn, 0 for any number; a call that waits longer than {@code patience} fails.
     */
    public record Discovery(long lateness, double calls, long patience) {}

    /**
     * Clients. {@code rate} of first tries over all, which rises and falls by {@code swing} of it
     * once a {@code period}; {@code drift} keys a second lose their rank to new ones; {@code keys}
     * with Zipf exponent {@code zipf}, the first {@code offset} ranks left out; up to {@code
     * retries} further tries after {@code backoff}, doubled each time; a try is given up after
     * {@code patience} of the deadline; {@code comeAgain}: whether they wait as long as a refusal
     * says; {@code skew}: standard deviation of the logarithm of what a balancer is given, 0 for
     * the same to each.
     */
    public record Clients(
            double rate,
            double swing,
            long period,
            double drift,
            int keys,
            double zipf,
            double offset,
            int retries,
            long backoff,
            double patience,
            boolean comeAgain,
            double skew) {}

    /** {@code cost}: nanoseconds of its one core for each request and each outcome. */
    public record Balancer(long cost, int maxAttempts, boolean hedges) {}

    /** A class. {@code share} of all; {@code work}: mean nanoseconds of a cache's core. */
    public record Load(
            double share,
            long work,
            Spread spread,
            long aim,
            long deadline,
            double worth,
            Api.Effect effect) {}

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
    public enum Kind {
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
     * From {@code at} for {@code length}; {@code part}: of the machines it meets; {@code factor}:
     * how much.
     */
    public record Fault(long at, long length, Kind kind, double part, double factor) {
        /** How many of all machines it meets, one at least. */
        int count(int all) {
            return Math.min(all, Math.max(1, (int) Math.round(all * part)));
        }

        /** Steps of a fault that goes on bit by bit. */
        public int steps() {
            return Math.max(1, (int) Math.round(factor));
        }
    }
}
