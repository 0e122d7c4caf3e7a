package frostrelay.policy;

import frostrelay.policy.Api.*;

import java.util.*;

/**
 * What this balancer knows of each host: the list's word, our requests in flight, breaker, slow
 * start.
 */
final class HostHealth {
    /** Evidence, as -ln of its chance among hosts that fail alike, at which a breaker opens. */
    private static final double OPEN_AT = 14;

    private static final double LEAST_CHANCE = 0.2;
    private static final long TRIAL_AFTER_NS = 1_000_000_000L;

    /** Share of the stated fall limit that is used. */
    private static final double FALL_MARGIN = 0.5;

    /**
     * Fall times over which our send rate is averaged, and the part of one that may be sent at
     * once.
     */
    private static final double RATE_WINDOWS = 4;

    private static final double BURST = 0.25;

    /** Likewise of what the busiest warm host is seen to serve: at most what it can do. */
    private static final double SERVED_MARGIN = 0.4;

    /**
     * Keys given to a cold host, for each that it could take at full load: hosts are seldom that
     * full.
     */
    private static final double KEY_ROOM = 2;

    private static final double FAILING_WEIGHT = 0.02;

    /**
     * Share of attempts without a connection from which on idle ones are given up: dead hosts are
     * fewer.
     */
    static final double CROWDED = 0.1;

    private static final double MOST_CROWD = 8;
    private static final double LATENCY_WEIGHT = 0.1;

    /** One server as this balancer sees it. */
    static final class Host {
        final long id;
        final long salt;
        int zone;
        int kind;
        int cell;
        double weight;
        double inverseWeight;
        boolean inOwnZone;
        State state = State.GONE;
        long startedAt;
        int inFlight;

        /** Mean time of its answers lately. */
        double latency;

        /** Start of the slow start, 0 if warm. */
        long coldSince;

        /** Its answers lately, older ones counting less. */
        private double served;

        private long servedAt;

        /** Sends that its slow start allows, as of {@code filledAt}. */
        private double tokens;

        private long filledAt;

        /** The circuit breaker: closed while {@code openUntil} is 0; any success closes it. */
        private double evidence;

        private long openUntil;
        private boolean trial;

        /**
         * Share of its hits that are slow; when a failed read here was last taken for a failed
         * fill.
         */
        double slowHits;

        long fillFailedAt = Long.MIN_VALUE / 2;

        /** The fleet finds it bad; reads that went past it for that. */
        boolean lowered;

        int passed;

        Host(long id) {
            this.id = id;
            this.salt = Candidates.mix(id + 0x9e3779b97f4a7c15L);
        }
    }

    Host[] caches = {};
    int cacheCount;

    /**
     * What {@link Candidates} scans for each request, side by side: of thousands it touches a few.
     */
    long[] salts = {};

    double[] inverses = {};
    boolean[] near = {};
    final List<Host> origins = new ArrayList<>();
    private final Map<Long, Host> known = new LinkedHashMap<>();

    /** Hosts that operators hold out of use, and since when; listed or not. */
    private final Map<Long, Long> held = new HashMap<>();

    private Settings settings;
    private long random;
    private double totalWeight;

    /**
     * Balancers per host: guards against keys hot over many balancers, none of which sees enough of
     * them.
     */
    double crowd = 1;

    /** Ignores breakers: set for one search when they leave nothing to choose from. */
    boolean panic;

    /** First sends to caches wanted lately, older ones counting less. */
    private double searches;

    private long searchedAt;

    /** The first of them. */
    private long begunAt;

    /** What the busiest warm host served in a fall time lately, and when it did. */
    private double mostServed;

    private long mostServedAt;

    /**
     * Share of late attempts that got no connection. Guards against idle connections that fill
     * tables.
     */
    double connectFailures;

    /** Share of late attempts that failed after they may have run, over all hosts. */
    private double failing;

    HostHealth(Settings settings, long seed) {
        this.settings = settings;
        this.random = seed;
    }

    /** Applies a list. A host that drains or is gone gets nothing new from this moment on. */
    void onList(long now, ListMode mode, List<Server> servers) {
        if (mode == ListMode.FAILED) {
            return;
        }
        if (mode != ListMode.DELTA) {
            for (Host host : known.values()) {
                host.state = State.GONE;
            }
        }
        for (Server server : servers) {
            Host host = known.computeIfAbsent(server.id(), Host::new);
            boolean restarted = server.startedAt() > host.startedAt;
            host.zone = server.zone();
            host.inOwnZone = host.zone == settings.zone();
            host.kind = server.kind();
            host.cell = server.cell();
            host.weight = server.weight() > 0 ? server.weight() : 1;
            host.inverseWeight = 1 / host.weight;
            host.state = server.state();
            host.startedAt = server.startedAt();
            if (restarted && now - host.startedAt < settings.warmWithin()) {
                host.coldSince = host.startedAt;
                host.tokens = nextUnit();
                host.filledAt = now;
                close(host);
            }
        }
        rebuild();
    }

    /**
     * A held host counts as draining until it is let go, whatever the list says of it meanwhile.
     */
    void onHolds(long now, Set<Long> servers) {
        for (Host host : known.values()) {
            Long since = servers.contains(host.id) ? null : held.get(host.id);
            if (since != null) {
                release(now, host, since);
            }
        }
        held.keySet().retainAll(servers);
        servers.forEach(id -> held.putIfAbsent(id, now));
        rebuild();
    }

    /** Others' word on hosts, as far as it is to be gone by: exactly these are lowered. */
    void onFleet(Set<Long> lowered) {
        for (Host host : known.values()) {
            // The first read behind a judgement is a look: guards against one that is wrong here.
            host.passed = host.lowered ? host.passed : -1;
            host.lowered = lowered.contains(host.id);
        }
    }

    /**
     * Operators restart what they hold, and the list tells of it late: unless it has told of a
     * start since, the host counts as started just now. Guards against the full load on a cold
     * host. Harm: one that was not restarted warms up for nothing.
     */
    private void release(long now, Host host, long since) {
        if (host.startedAt < since) {
            host.coldSince = now;
        }
        host.tokens = nextUnit();
        host.filledAt = now;
        close(host);
    }

    void onSettings(Settings fresh) {
        settings = fresh;
        known.values().forEach(host -> host.inOwnZone = host.zone == fresh.zone());
        rebuild();
    }

    private void rebuild() {
        known.values().removeIf(host -> host.state == State.GONE && host.inFlight == 0);
        caches = new Host[known.size()];
        salts = new long[known.size()];
        inverses = new double[known.size()];
        near = new boolean[known.size()];
        cacheCount = 0;
        totalWeight = 0;
        origins.clear();
        for (Host host : known.values()) {
            boolean usable = host.state == State.READY && !held.containsKey(host.id);
            if (usable && isOrigin(host)) {
                origins.add(host);
            } else if (usable) {
                salts[cacheCount] = host.salt;
                inverses[cacheCount] = host.inverseWeight;
                near[cacheCount] = host.inOwnZone;
                caches[cacheCount++] = host;
                totalWeight += host.weight;
            }
        }
        crowd =
                Math.max(
                        1,
                        Math.min(
                                MOST_CROWD,
                                (double) settings.instances() / Math.max(1, cacheCount)));
    }

    boolean isOrigin(Host host) {
        return settings.aside() && host.kind == settings.originKind();
    }

    /**
     * Whether the host takes the key with this hash: breaker, then slow start by key, then the
     * budget.
     */
    boolean admits(long now, Host host, long hash) {
        if (!panic && host.openUntil != 0 && (now < host.openUntil || host.trial)) {
            return false;
        }
        if (host.coldSince == 0) {
            return true;
        }
        double grown = Math.max(0.0, now - host.coldSince) / Math.max(1, settings.warmWithin());
        double share = settings.coldFrom() + (1 - settings.coldFrom()) * grown;
        if (share >= 1) {
            host.coldSince = 0;
            return true;
        }
        // The same keys at every balancer, so that all of them together stay within the share.
        return ((hash & 2047) < share * KEY_ROOM * 2048 || panic) && withinBudget(now, host, share);
    }

    /**
     * Slow start: a token bucket fed with the host's portion of our own sends, so that all
     * balancers together stay within what the cold host can do, however hot its keys are. It starts
     * at a random level, lest many balancers with few requests each send their first one at once.
     * Where much is shed, what warm hosts serve tells more than our own sends: by those alone, cold
     * hosts stood idle beside full ones.
     */
    private boolean withinBudget(long now, Host host, double share) {
        // A live weight makes an idle newcomer look many times its size: it counts as average at
        // most.
        double portion =
                Math.min(host.weight / Math.max(totalWeight, 1e-9), 1.0 / Math.max(1, cacheCount));
        double bySends = FALL_MARGIN * searches / RATE_WINDOWS * portion;
        double most = Math.max(bySends, SERVED_MARGIN * mostServed) / seenPart(now);
        double perWindow = share * settings.tipMultiple() * most;
        double burst = Math.max(1, perWindow * BURST);
        host.tokens += perWindow * (now - host.filledAt) / settings.fallTime();
        host.tokens = Math.min(burst, host.tokens);
        host.filledAt = now;
        return host.tokens >= (panic ? 0 : 1);
    }

    /**
     * What part of a mean a balancer has seen that began lately. Guards against one that takes over
     * from another process and has cold hosts wait until its own counts have grown.
     */
    private double seenPart(long now) {
        double seen = Math.max(1, (double) (now - begunAt) / settings.fallTime());
        return 1 - Math.exp(-seen / RATE_WINDOWS);
    }

    /**
     * A cache is wanted for a request's first send; retries, which multiply in trouble, do not
     * count.
     */
    void wanted(long now) {
        begunAt = begunAt == 0 ? now : begunAt;
        searches =
                1 + searches * Math.exp((searchedAt - now) / (RATE_WINDOWS * settings.fallTime()));
        searchedAt = now;
    }

    void onSend(long now, Host host) {
        host.inFlight++;
        host.tokens -= host.coldSince != 0 ? 1 : 0;
        host.trial |= host.openUntil != 0;
    }

    /**
     * An attempt ended. {@code suspect}: it was overtaken by its copy, or turned away by a host
     * that has time to spare, which counts as failed. Guards against a silent host, all of whose
     * reads are saved by copies, so that none ever times out and it is tried again with every read.
     */
    void onEnd(long now, Host host, Reason reason, long took, boolean suspect) {
        host.inFlight--;
        boolean failed =
                suspect
                        || reason == Reason.ERROR
                        || reason == Reason.RESET
                        || reason == Reason.TIMEOUT;
        connectFailures +=
                FAILING_WEIGHT * ((reason == Reason.CONNECT_FAILED ? 1 : 0) - connectFailures);
        if (reason.answered() || reason == Reason.TIMEOUT) {
            host.latency += (host.latency == 0 ? 1 : LATENCY_WEIGHT) * (took - host.latency);
        }
        if (isOrigin(host)) {
            return;
        }
        if (reason.answered() && host.coldSince == 0) {
            served(now, host);
        }
        if (reason.answered() || failed) {
            failing += FAILING_WEIGHT * ((failed ? 1 : 0) - failing);
        }
        if (reason.answered() || reason == Reason.REJECTED && !suspect) {
            close(host);
        } else if (reason == Reason.CONNECT_FAILED) {
            strike(now, host, OPEN_AT / 2);
        } else if (failed) {
            // Guards against moving keys when all hosts fail for one cause: what most do is no
            // evidence.
            strike(now, host, -Math.log(Math.max(LEAST_CHANCE, failing)));
        }
        host.trial = false;
    }

    private void served(long now, Host host) {
        double span = RATE_WINDOWS * settings.fallTime();
        host.served = 1 + host.served * Math.exp((host.servedAt - now) / span);
        host.servedAt = now;
        double perWindow = host.served / RATE_WINDOWS;
        if (perWindow >= mostServed || now - mostServedAt > settings.fallTime()) {
            mostServed = perWindow;
            mostServedAt = now;
        }
    }

    private static void close(Host host) {
        host.evidence = 0;
        host.openUntil = 0;
    }

    private void strike(long now, Host host, double evidence) {
        host.evidence += evidence;
        if (host.evidence >= OPEN_AT && (host.openUntil == 0 || host.trial)) {
            host.openUntil = now + (long) (TRIAL_AFTER_NS * (0.8 + 0.4 * nextUnit()));
        }
    }

    /** A random number in [0, 1) from the seed. */
    double nextUnit() {
        random += 0x9e3779b97f4a7c15L;
        return (Candidates.mix(random) >>> 11) * 0x1.0p-53;
    }
}
