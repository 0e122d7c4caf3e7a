package frostrelay.policy;

import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.RequestClass;

import java.util.Arrays;

/** What is turned away before any work is done, and how hard the fleet looks pressed from here. */
final class AdmissionControl {
    /**
     * Requests of a tenant's allowance that may be saved up; fewer would take chance for excess.
     */
    private static final double BURST = 20;

    /**
     * What a sign does to the share admitted: more for a balancer that sees few, within these
     * limits.
     */
    private static final double MIN_STEP = 0.02;

    private static final double MAX_STEP = 0.15;
    private static final long STEP_NANOS = 1_000_000_000L;

    /** Part of the aim after which a request that is still out is a sign of overload. */
    private static final double SLOW_OBJECTIVE_FRACTION = 0.45;

    /** What a rejection and a slow request say of the load, where a quick answer says 1. */
    static final double REJECTION_SIGNAL = -2.5;

    static final double SLOWNESS_SIGNAL = -1;
    private static final double MIN_ADMITTED = 0.05;

    /** Part of the longest wait told to a refused client that is told to each of them. */
    private static final double MIN_WAIT = 0.25;

    private static final int WRITE_SMOOTHING = 8;

    private PolicySettings settings;
    private double admitted = 1;
    private long lastSignalAtNanos;

    /** Mean time that an ordered request keeps its key. */
    long meanWriteNanos;

    private double[] tokens;
    private long[] refilledAtNanos;

    AdmissionControl(PolicySettings settings) {
        this.settings = settings;
        tokens = new double[settings.tenants().size()];
        refilledAtNanos = new long[tokens.length];
    }

    /** Tenants keep their numbers, and what they have saved up. */
    void onSettings(PolicySettings newSettings) {
        settings = newSettings;
        tokens = Arrays.copyOf(tokens, newSettings.tenants().size());
        refilledAtNanos = Arrays.copyOf(refilledAtNanos, tokens.length);
    }

    /** Guards against full, slow caches under lasting overload: traffic over shares goes first. */
    boolean shouldShed(boolean isOverQuota, boolean isWrite, double randomUnit) {
        double passProbability = Math.max(0, isOverQuota ? 2 * admitted - 1 : 2 * admitted);
        return randomUnit >= (isWrite ? Math.sqrt(passProbability) : passProbability);
    }

    /**
     * When a refused client should come again: at once while little is shed, spread over most of
     * what it has left to wait while nearly all is. Guards against tries that multiply as more of
     * them are refused, which costs a balancer the time that it needs to serve. Harm: a request
     * that would have been let in at its next try comes late for its aim.
     */
    long retryAfterNanos(RequestClass requestClass, double random) {
        double shedFraction = Math.max(0, 1 - 2 * admitted);
        return (long)
                (requestClass.deadlineNanos()
                        * shedFraction
                        * shedFraction
                        * (MIN_WAIT + (1 - MIN_WAIT) * random));
    }

    /**
     * A cache answered quickly, turned a request away, or has one out for long: half of one kind
     * and half of the other balance, so that lost answers alone shed nothing. Guards against jams
     * that outlast their cause, as servers that slow down when crowded make them. Harm: work that
     * is slow by nature is shed.
     */
    void recordLoadSignal(long now, double signal) {
        double step =
                Math.max(
                        MIN_STEP,
                        Math.min(MAX_STEP, (double) (now - lastSignalAtNanos) / STEP_NANOS));
        lastSignalAtNanos = now;
        admitted = Math.max(MIN_ADMITTED, Math.min(1, admitted * Math.exp(signal * step)));
    }

    /** When a request that is still out tells of overload. */
    long slowAfterNanos(RequestClass requestClass) {
        return (long) (requestClass.latencyObjectiveNanos() * SLOW_OBJECTIVE_FRACTION);
    }

    /** Whether so much is shed that nothing may be sent twice without need. */
    boolean isOverloaded() {
        return admitted < 0.5;
    }

    /** Whether its tenant's share is used up. */
    boolean isOverQuota(long now, int tenant) {
        if (tenant >= tokens.length) {
            return false;
        }
        double rate = settings.tenants().get(tenant).quotaPerSecond() / settings.instanceCount();
        tokens[tenant] =
                Math.min(BURST, tokens[tenant] + (now - refilledAtNanos[tenant]) * 1e-9 * rate);
        refilledAtNanos[tenant] = now;
        return tokens[tenant] < 1;
    }

    /**
     * Counts an admitted request: guards against retries of refused ones using up their tenant's
     * share.
     */
    void consumeQuota(int tenant) {
        if (tenant < tokens.length) {
            tokens[tenant] = Math.max(0, tokens[tenant] - 1);
        }
    }

    /** An attempt of an ordered request ran to its end. */
    void recordWriteDuration(long durationNanos) {
        meanWriteNanos += (durationNanos - meanWriteNanos) / WRITE_SMOOTHING;
    }
}
