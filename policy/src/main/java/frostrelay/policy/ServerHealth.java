package frostrelay.policy;

import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Server;

import java.util.*;

/**
 * What this balancer knows of each host: the list's word, our requests in flight, breaker, slow
 * start.
 */
final class ServerHealth {
    /** Evidence, as -ln of its chance among hosts that fail alike, at which a breaker opens. */
    private static final double OPEN_EVIDENCE = 14;

    private static final double MIN_FAILURE_RATE = 0.2;
    private static final long TRIAL_DELAY_NANOS = 1_000_000_000L;

    /** Share of the stated fall limit that is used. */
    private static final double OVERLOAD_MARGIN = 0.5;

    /**
     * Fall times over which our send rate is averaged, and the part of one that may be sent at
     * once.
     */
    private static final double RATE_WINDOWS = 4;

    private static final double BURST_FRACTION = 0.25;

    /** Likewise of what the busiest warm host is seen to serve: at most what it can do. */
    private static final double SERVED_MARGIN = 0.4;

    /**
     * Keys given to a cold host, for each that it could take at full load: hosts are seldom that
     * full.
     */
    private static final double KEY_CAPACITY = 2;

    private static final double FAILURE_SMOOTHING = 0.02;

    /**
     * Share of attempts without a connection from which on idle ones are given up: dead hosts are
     * fewer.
     */
    static final double MAX_CONNECT_FAILURE_RATE = 0.1;

    private static final double MAX_PER_SERVER = 8;
    private static final double LATENCY_SMOOTHING = 0.1;

    /** One server as this balancer sees it. */
    static final class TrackedServer {
        final long id;
        final long salt;
        int zone;
        int kind;
        int cell;
        double weight;
        double inverseWeight;
        boolean isInLocalZone;
        EndpointState state = EndpointState.REMOVED;
        long startedAtNanos;
        int inFlight;

        /** Mean time of its answers lately. */
        double latencyNanos;

        /** Start of the slow start, 0 if warm. */
        long warmingSinceNanos;

        /** Its answers lately, older ones counting less. */
        private double recentAnswers;

        private long recentAnswersAtNanos;

        /** Sends that its slow start allows, as of {@code refilledAtNanos}. */
        private double tokens;

        private long refilledAtNanos;

        /** The circuit breaker: closed while {@code openUntilNanos} is 0; any success closes it. */
        private double evidence;

        private long openUntilNanos;
        private boolean inTrial;

        /**
         * Share of its hits that are slow; when a failed read here was last taken for a failed
         * fill.
         */
        double slowHitFraction;

        long fetchFailedAtNanos = Long.MIN_VALUE / 2;

        /** The fleet finds it bad; reads that went past it for that. */
        boolean isOutlier;

        int skippedReads;

        TrackedServer(long id) {
            this.id = id;
            this.salt = RendezvousCandidates.mix(id + 0x9e3779b97f4a7c15L);
        }
    }

    TrackedServer[] caches = {};
    int cacheCount;

    /**
     * What {@link RendezvousCandidates} scans for each request, side by side: of thousands it
     * touches a few.
     */
    long[] salts = {};

    double[] inverseWeights = {};
    boolean[] inLocalZone = {};
    final List<TrackedServer> origins = new ArrayList<>();
    private final Map<Long, TrackedServer> serversById = new LinkedHashMap<>();

    /** Hosts that operators hold out of use, and since when; listed or not. */
    private final Map<Long, Long> drainedSinceNanos = new HashMap<>();

    private PolicySettings settings;
    private long randomState;
    private double totalWeight;

    /**
     * Balancers per host: guards against keys hot over many balancers, none of which sees enough of
     * them.
     */
    double balancersPerServer = 1;

    /** Ignores breakers: set for one search when they leave nothing to choose from. */
    boolean ignoresBreakers;

    /** First sends to caches wanted lately, older ones counting less. */
    private double recentSends;

    private long recentSendsAtNanos;

    /** The first of them. */
    private long firstSendAtNanos;

    /** What the busiest warm host served in a fall time lately, and when it did. */
    private double maxServedPerWindow;

    private long maxServedAtNanos;

    /**
     * Share of late attempts that got no connection. Guards against idle connections that fill
     * tables.
     */
    double connectFailureRate;

    /** Share of late attempts that failed after they may have run, over all hosts. */
    private double failureRate;

    ServerHealth(PolicySettings settings, long seed) {
        this.settings = settings;
        this.randomState = seed;
    }

    /** Applies a list. A host that drains or is gone gets nothing new from this moment on. */
    void onEndpointUpdate(long now, EndpointUpdateMode mode, List<Server> servers) {
        if (mode == EndpointUpdateMode.FAILED) {
            return;
        }
        if (mode != EndpointUpdateMode.DELTA) {
            for (TrackedServer tracked : serversById.values()) {
                tracked.state = EndpointState.REMOVED;
            }
        }
        for (Server server : servers) {
            TrackedServer tracked = serversById.computeIfAbsent(server.id(), TrackedServer::new);
            boolean hasRestarted = server.startedAtNanos() > tracked.startedAtNanos;
            tracked.zone = server.zone();
            tracked.isInLocalZone = tracked.zone == settings.zone();
            tracked.kind = server.kind();
            tracked.cell = server.cell();
            tracked.weight = server.weight() > 0 ? server.weight() : 1;
            tracked.inverseWeight = 1 / tracked.weight;
            tracked.state = server.state();
            tracked.startedAtNanos = server.startedAtNanos();
            if (hasRestarted && now - tracked.startedAtNanos < settings.slowStartNanos()) {
                tracked.warmingSinceNanos = tracked.startedAtNanos;
                tracked.tokens = nextUniform();
                tracked.refilledAtNanos = now;
                closeBreaker(tracked);
            }
        }
        rebuildIndex();
    }

    /**
     * A held host counts as draining until it is let go, whatever the list says of it meanwhile.
     */
    void onAdminDrains(long now, Set<Long> drainedServers) {
        for (TrackedServer server : serversById.values()) {
            Long sinceNanos =
                    drainedServers.contains(server.id) ? null : drainedSinceNanos.get(server.id);
            if (sinceNanos != null) {
                endAdminDrain(now, server, sinceNanos);
            }
        }
        drainedSinceNanos.keySet().retainAll(drainedServers);
        drainedServers.forEach(id -> drainedSinceNanos.putIfAbsent(id, now));
        rebuildIndex();
    }

    /** Others' word on hosts, as far as it is to be gone by: exactly these are lowered. */
    void onPeerHealthReports(Set<Long> outliers) {
        for (TrackedServer server : serversById.values()) {
            // The first read behind a judgement is a look: guards against one that is wrong here.
            server.skippedReads = server.isOutlier ? server.skippedReads : -1;
            server.isOutlier = outliers.contains(server.id);
        }
    }

    /**
     * Operators restart what they hold, and the list tells of it late: unless it has told of a
     * start since, the host counts as started just now. Guards against the full load on a cold
     * host. Harm: one that was not restarted warms up for nothing.
     */
    private void endAdminDrain(long now, TrackedServer server, long sinceNanos) {
        if (server.startedAtNanos < sinceNanos) {
            server.warmingSinceNanos = now;
        }
        server.tokens = nextUniform();
        server.refilledAtNanos = now;
        closeBreaker(server);
    }

    void onSettings(PolicySettings newSettings) {
        settings = newSettings;
        serversById
                .values()
                .forEach(server -> server.isInLocalZone = server.zone == newSettings.zone());
        rebuildIndex();
    }

    private void rebuildIndex() {
        serversById
                .values()
                .removeIf(server -> server.state == EndpointState.REMOVED && server.inFlight == 0);
        caches = new TrackedServer[serversById.size()];
        salts = new long[serversById.size()];
        inverseWeights = new double[serversById.size()];
        inLocalZone = new boolean[serversById.size()];
        cacheCount = 0;
        totalWeight = 0;
        origins.clear();
        for (TrackedServer server : serversById.values()) {
            boolean isUsable =
                    server.state == EndpointState.READY
                            && !drainedSinceNanos.containsKey(server.id);
            if (isUsable && isOrigin(server)) {
                origins.add(server);
            } else if (isUsable) {
                salts[cacheCount] = server.salt;
                inverseWeights[cacheCount] = server.inverseWeight;
                inLocalZone[cacheCount] = server.isInLocalZone;
                caches[cacheCount++] = server;
                totalWeight += server.weight;
            }
        }
        balancersPerServer =
                Math.max(
                        1,
                        Math.min(
                                MAX_PER_SERVER,
                                (double) settings.instanceCount() / Math.max(1, cacheCount)));
    }

    boolean isOrigin(TrackedServer server) {
        return settings.lookAside() && server.kind == settings.originKind();
    }

    /**
     * Whether the host takes the key with this hash: breaker, then slow start by key, then the
     * budget.
     */
    boolean admits(long now, TrackedServer server, long hash) {
        if (!ignoresBreakers
                && server.openUntilNanos != 0
                && (now < server.openUntilNanos || server.inTrial)) {
            return false;
        }
        if (server.warmingSinceNanos == 0) {
            return true;
        }
        double elapsed =
                Math.max(0.0, now - server.warmingSinceNanos)
                        / Math.max(1, settings.slowStartNanos());
        double fraction =
                settings.slowStartInitialFraction()
                        + (1 - settings.slowStartInitialFraction()) * elapsed;
        if (fraction >= 1) {
            server.warmingSinceNanos = 0;
            return true;
        }
        // The same keys at every balancer, so that all of them together stay within the share.
        return ((hash & 2047) < fraction * KEY_CAPACITY * 2048 || ignoresBreakers)
                && withinSlowStart(now, server, fraction);
    }

    /**
     * Slow start: a token bucket fed with the host's portion of our own sends, so that all
     * balancers together stay within what the cold host can do, however hot its keys are. It starts
     * at a random level, lest many balancers with few requests each send their first one at once.
     * Where much is shed, what warm hosts serve tells more than our own sends: by those alone, cold
     * hosts stood idle beside full ones.
     */
    private boolean withinSlowStart(long now, TrackedServer server, double fraction) {
        // A live weight makes an idle newcomer look many times its size: it counts as average at
        // most.
        double portion =
                Math.min(
                        server.weight / Math.max(totalWeight, 1e-9), 1.0 / Math.max(1, cacheCount));
        double sendsPerWindow = OVERLOAD_MARGIN * recentSends / RATE_WINDOWS * portion;
        double fullLoad =
                Math.max(sendsPerWindow, SERVED_MARGIN * maxServedPerWindow)
                        / observedFraction(now);
        double allowed = fraction * settings.overloadMultiple() * fullLoad;
        double burst = Math.max(1, allowed * BURST_FRACTION);
        server.tokens += allowed * (now - server.refilledAtNanos) / settings.overloadWindowNanos();
        server.tokens = Math.min(burst, server.tokens);
        server.refilledAtNanos = now;
        return server.tokens >= (ignoresBreakers ? 0 : 1);
    }

    /**
     * What part of a mean a balancer has seen that began lately. Guards against one that takes over
     * from another process and has cold hosts wait until its own counts have grown.
     */
    private double observedFraction(long now) {
        double windows =
                Math.max(1, (double) (now - firstSendAtNanos) / settings.overloadWindowNanos());
        return 1 - Math.exp(-windows / RATE_WINDOWS);
    }

    /**
     * A cache is wanted for a request's first send; retries, which multiply in trouble, do not
     * count.
     */
    void recordFirstSend(long now) {
        firstSendAtNanos = firstSendAtNanos == 0 ? now : firstSendAtNanos;
        recentSends =
                1
                        + recentSends
                                * Math.exp(
                                        (recentSendsAtNanos - now)
                                                / (RATE_WINDOWS * settings.overloadWindowNanos()));
        recentSendsAtNanos = now;
    }

    void onAttemptStarted(long now, TrackedServer server) {
        server.inFlight++;
        server.tokens -= server.warmingSinceNanos != 0 ? 1 : 0;
        server.inTrial |= server.openUntilNanos != 0;
    }

    /**
     * An attempt ended. {@code suspect}: it was overtaken by its copy, or turned away by a host
     * that has time to spare, which counts as failed. Guards against a silent host, all of whose
     * reads are saved by copies, so that none ever times out and it is tried again with every read.
     */
    void onAttemptCompleted(
            long now,
            TrackedServer server,
            AttemptResult reason,
            long durationNanos,
            boolean suspect) {
        server.inFlight--;
        boolean failed =
                suspect
                        || reason == AttemptResult.ERROR
                        || reason == AttemptResult.RESET
                        || reason == AttemptResult.TIMEOUT;
        connectFailureRate +=
                FAILURE_SMOOTHING
                        * ((reason == AttemptResult.CONNECT_FAILED ? 1 : 0) - connectFailureRate);
        if (reason.answered() || reason == AttemptResult.TIMEOUT) {
            server.latencyNanos +=
                    (server.latencyNanos == 0 ? 1 : LATENCY_SMOOTHING)
                            * (durationNanos - server.latencyNanos);
        }
        if (isOrigin(server)) {
            return;
        }
        if (reason.answered() && server.warmingSinceNanos == 0) {
            recordAnswer(now, server);
        }
        if (reason.answered() || failed) {
            failureRate += FAILURE_SMOOTHING * ((failed ? 1 : 0) - failureRate);
        }
        if (reason.answered() || reason == AttemptResult.REJECTED && !suspect) {
            closeBreaker(server);
        } else if (reason == AttemptResult.CONNECT_FAILED) {
            recordFailure(now, server, OPEN_EVIDENCE / 2);
        } else if (failed) {
            // Guards against moving keys when all hosts fail for one cause: what most do is no
            // evidence.
            recordFailure(now, server, -Math.log(Math.max(MIN_FAILURE_RATE, failureRate)));
        }
        server.inTrial = false;
    }

    private void recordAnswer(long now, TrackedServer server) {
        double spanNanos = RATE_WINDOWS * settings.overloadWindowNanos();
        server.recentAnswers =
                1
                        + server.recentAnswers
                                * Math.exp((server.recentAnswersAtNanos - now) / spanNanos);
        server.recentAnswersAtNanos = now;
        double servedPerWindow = server.recentAnswers / RATE_WINDOWS;
        if (servedPerWindow >= maxServedPerWindow
                || now - maxServedAtNanos > settings.overloadWindowNanos()) {
            maxServedPerWindow = servedPerWindow;
            maxServedAtNanos = now;
        }
    }

    private static void closeBreaker(TrackedServer server) {
        server.evidence = 0;
        server.openUntilNanos = 0;
    }

    private void recordFailure(long now, TrackedServer server, double evidence) {
        server.evidence += evidence;
        if (server.evidence >= OPEN_EVIDENCE && (server.openUntilNanos == 0 || server.inTrial)) {
            server.openUntilNanos = now + (long) (TRIAL_DELAY_NANOS * (0.8 + 0.4 * nextUniform()));
        }
    }

    /** A random number in [0, 1) from the seed. */
    double nextUniform() {
        randomState += 0x9e3779b97f4a7c15L;
        return (RendezvousCandidates.mix(randomState) >>> 11) * 0x1.0p-53;
    }
}
