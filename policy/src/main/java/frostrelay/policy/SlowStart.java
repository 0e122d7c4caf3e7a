package frostrelay.policy;

import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.SlowStartStatus;

/**
 * Limits the traffic to a server that has recently started. Its admitted fraction grows from the
 * configured initial value to 1. A limit on keys makes all balancers pick the same ones, and a
 * token bucket keeps the sum over all balancers within the server's capacity. A token is the work
 * of a typical request ({@link WorkEstimate}); every attempt takes as many as its request costs.
 */
final class SlowStart {
    /** Fraction of the configured overload multiple that is used. */
    private static final double OVERLOAD_MARGIN = 0.5;

    /**
     * Like {@link #OVERLOAD_MARGIN}, for a load estimated from the answers of warm servers, which
     * never exceed their capacity.
     */
    private static final double SERVED_MARGIN = 0.4;

    /** Overload windows over which rates are averaged. */
    private static final double RATE_WINDOWS = 4;

    /** Capacity of the token bucket as a fraction of an overload window's work. */
    private static final double BURST_FRACTION = 0.25;

    /**
     * Factor on the fraction of keys that a cold server is given. It is above 1 because servers are
     * seldom at full load.
     */
    private static final double KEY_CAPACITY = 2;

    /** Resolution of the admitted fraction of keys, which compares the low bits of a key's hash. */
    private static final int KEY_STEPS = 2048;

    /** Lower bound of the fleet's weight, to avoid a division by zero. */
    private static final double MIN_TOTAL_WEIGHT = 1e-9;

    private PolicySettings settings;
    private double fleetWeight;
    private int fleetSize;

    /** First attempts of requests, decaying exponentially, as of {@link #recentSendsAtNanos}. */
    private double recentSends;

    private long recentSendsAtNanos;
    private long firstSendAtNanos;

    /** Answers per overload window of the busiest warm server, and when they were recorded. */
    private double maxServedPerWindow;

    private long maxServedAtNanos;

    SlowStart(PolicySettings settings) {
        this.settings = settings;
    }

    void onSettings(PolicySettings newSettings) {
        settings = newSettings;
    }

    /** Sets the number and total weight of the usable servers. */
    void setFleet(int size, double weight) {
        fleetSize = size;
        fleetWeight = weight;
    }

    /**
     * Returns whether the server currently accepts the key with this hash.
     *
     * @param cost the request's work, in units of a typical request's
     * @param mustChoose whether no other server is left, in which case all keys are admitted and
     *     any token level from 0 suffices
     */
    boolean admits(long now, TrackedServer server, long hash, double cost, boolean mustChoose) {
        if (server.warmingSinceNanos == 0) {
            return true;
        }
        double fraction = admittedFraction(now, server);
        if (fraction >= 1) {
            server.warmingSinceNanos = 0;
            return true;
        }
        // All balancers admit the same keys, so that their sum stays within the fraction.
        boolean isKeyAdmitted =
                (hash & (KEY_STEPS - 1)) < fraction * KEY_CAPACITY * KEY_STEPS || mustChoose;
        boolean isAdmitted = isKeyAdmitted && hasTokens(now, server, fraction, cost, mustChoose);
        server.heldBack += isAdmitted ? 0 : 1;
        return isAdmitted;
    }

    private double admittedFraction(long now, TrackedServer server) {
        double elapsed =
                Math.max(0.0, now - server.warmingSinceNanos)
                        / Math.max(1, settings.slowStartNanos());
        return settings.slowStartInitialFraction()
                + (1 - settings.slowStartInitialFraction()) * elapsed;
    }

    /**
     * Refills the server's token bucket and returns whether an attempt may be sent. The refill rate
     * follows the server's share of this balancer's own sends, so that all balancers together stay
     * within the cold server's capacity even for hot keys.
     *
     * <p>A request may cost more than the bucket holds; its debt is paid off before the next one.
     * As long as it costs no more than a window's work, no window gets more than that and a full
     * bucket. A heavier one must go to another server. An ordinary one is admitted even if it costs
     * more than a window's work; without that, large fleets would send nothing.
     */
    private boolean hasTokens(
            long now, TrackedServer server, double fraction, double cost, boolean mustChoose) {
        double allowed = allowedWork(now, server, fraction);
        double burst = Math.max(1, allowed * BURST_FRACTION);
        server.tokens += allowed * (now - server.refilledAtNanos) / settings.overloadWindowNanos();
        server.tokens = Math.min(burst, server.tokens);
        server.refilledAtNanos = now;
        if (cost > Math.max(WorkEstimate.MAX_ORDINARY_COST, allowed)) {
            return false;
        }
        return server.tokens >= (mustChoose ? 0 : Math.min(Math.max(1, cost), burst));
    }

    /** Returns the work that this balancer may send to the server in an overload window. */
    private double allowedWork(long now, TrackedServer server, double fraction) {
        return fraction * settings.overloadMultiple() * fullLoad(now, server);
    }

    /** Returns what the server gets from this balancer; null if it is warm. */
    SlowStartStatus status(long now, TrackedServer server) {
        if (server.warmingSinceNanos == 0) {
            return null;
        }
        boolean isWindowOver = now - server.windowStartedAtNanos > settings.overloadWindowNanos();
        return new SlowStartStatus(
                server.id,
                allowedWork(now, server, Math.min(1, admittedFraction(now, server))),
                isWindowOver ? 0 : server.windowCost,
                server.heldBack);
    }

    /**
     * Estimates a safe number of typical requests per overload window for the server when warm.
     * While much load is shed, this balancer sends little itself, and the answers of warm servers
     * give a better estimate; without it, cold servers would be idle while warm ones are full.
     */
    private double fullLoad(long now, TrackedServer server) {
        // The weight reported for an idle new server may be many times too high, so it is limited
        // to the average.
        double fleetFraction =
                Math.min(
                        server.weight / Math.max(fleetWeight, MIN_TOTAL_WEIGHT),
                        1.0 / Math.max(1, fleetSize));
        double sendsPerWindow = OVERLOAD_MARGIN * recentSends / RATE_WINDOWS * fleetFraction;
        return Math.max(sendsPerWindow, SERVED_MARGIN * maxServedPerWindow) / observedFraction(now);
    }

    /**
     * Returns the fraction of a rate's averaging time that this balancer has observed so far.
     * Without this correction, a balancer that takes over from another process would leave cold
     * servers idle until its own rates have grown.
     */
    private double observedFraction(long now) {
        double windows =
                Math.max(1, (double) (now - firstSendAtNanos) / settings.overloadWindowNanos());
        return 1 - Math.exp(-windows / RATE_WINDOWS);
    }

    /** Resets the token bucket to a random level, so that balancers do not all send at once. */
    void resetTokens(long now, TrackedServer server, SeededRandom random) {
        server.tokens = random.nextUniform();
        server.refilledAtNanos = now;
        server.heldBack = 0;
    }

    void onAttemptStarted(long now, TrackedServer server, double cost) {
        if (server.warmingSinceNanos == 0) {
            return;
        }
        server.tokens -= cost;
        if (now - server.windowStartedAtNanos > settings.overloadWindowNanos()) {
            server.windowStartedAtNanos = now;
            server.windowCost = 0;
        }
        server.windowCost += cost;
    }

    /** Counts a request's first attempt. Retries are excluded, as they multiply during faults. */
    void recordFirstSend(long now) {
        firstSendAtNanos = firstSendAtNanos == 0 ? now : firstSendAtNanos;
        recentSends = 1 + recentSends * decay(recentSendsAtNanos, now);
        recentSendsAtNanos = now;
    }

    /** Counts an answer if the server is warm. */
    void recordAnswer(long now, TrackedServer server) {
        if (server.warmingSinceNanos != 0) {
            return;
        }
        server.recentAnswers = 1 + server.recentAnswers * decay(server.recentAnswersAtNanos, now);
        server.recentAnswersAtNanos = now;
        double servedPerWindow = server.recentAnswers / RATE_WINDOWS;
        if (servedPerWindow >= maxServedPerWindow
                || now - maxServedAtNanos > settings.overloadWindowNanos()) {
            maxServedPerWindow = servedPerWindow;
            maxServedAtNanos = now;
        }
    }

    private double decay(long fromNanos, long now) {
        return Math.exp((fromNanos - now) / (RATE_WINDOWS * settings.overloadWindowNanos()));
    }
}
