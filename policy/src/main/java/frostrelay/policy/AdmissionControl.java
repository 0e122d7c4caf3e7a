package frostrelay.policy;

import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.RequestClass;

import java.util.Arrays;
import java.util.List;

/**
 * Sheds load before any work is done: by each tenant's quota, and by an admitted fraction that
 * follows load signals from the fleet.
 */
final class AdmissionControl {
    /**
     * Requests of a tenant's quota that may be saved up; with fewer, random bursts would exceed it.
     */
    private static final double BURST = 20;

    /**
     * Limits of the logarithmic change of the admitted fraction by a signal of strength 1. It grows
     * with the time since the last signal: a balancer that sees few signals weighs each one more.
     */
    private static final double MIN_STEP = 0.02;

    private static final double MAX_STEP = 0.15;

    /** Time since the last signal that gives a step of 1, before the limits. */
    private static final long STEP_NANOS = 1_000_000_000L;

    /** Fraction of the latency objective after which a missing answer is a sign of overload. */
    private static final double SLOW_OBJECTIVE_FRACTION = 0.45;

    /** Load signals of a rejection and of a slow request, where a fast answer gives 1. */
    static final double REJECTION_SIGNAL = -2.5;

    static final double SLOWNESS_SIGNAL = -1;

    /** Signal without effect on the admitted fraction. */
    static final double NEUTRAL_SIGNAL = 0;

    private static final double MIN_ADMITTED = 0.05;

    /** Smallest Retry-After as a fraction of the largest at the same load. */
    private static final double MIN_WAIT_FRACTION = 0.25;

    /** Attempts over which the mean write duration is averaged. */
    private static final int WRITE_SMOOTHING = 8;

    private static final double SECONDS_PER_NANO = 1e-9;

    private PolicySettings settings;
    private double admitted = 1;
    private long lastSignalAtNanos;

    /** Moving average of the time that a serialized request blocks its key. */
    long meanWriteNanos;

    private double[] tokens;
    private long[] refilledAtNanos;

    AdmissionControl(PolicySettings settings) {
        this.settings = settings;
        tokens = new double[settings.tenants().size()];
        refilledAtNanos = new long[tokens.length];
    }

    /** Tenants keep their indexes, and what they have saved up. */
    void onSettings(PolicySettings newSettings) {
        settings = newSettings;
        tokens = Arrays.copyOf(tokens, newSettings.tenants().size());
        refilledAtNanos = Arrays.copyOf(refilledAtNanos, tokens.length);
    }

    /**
     * Returns whether to shed a request. Guards against full, slow caches under lasting overload:
     * traffic over its quota is shed first, writes last.
     */
    boolean shouldShed(boolean isOverQuota, boolean isWrite, double randomUnit) {
        double passProbability = Math.max(0, isOverQuota ? 2 * admitted - 1 : 2 * admitted);
        return randomUnit >= (isWrite ? Math.sqrt(passProbability) : passProbability);
    }

    /**
     * Returns the Retry-After of a shed request: 0 while little is shed, spread over most of the
     * time to its deadline while nearly everything is. Guards against retries that multiply as more
     * of them are rejected, which costs a balancer the time that it needs to serve. Cost: a request
     * that would have been admitted at its next attempt misses its latency objective.
     */
    long retryAfterNanos(RequestClass requestClass, double random) {
        double shedFraction = Math.max(0, 1 - 2 * admitted);
        return (long)
                (requestClass.deadlineNanos()
                        * shedFraction
                        * shedFraction
                        * (MIN_WAIT_FRACTION + (1 - MIN_WAIT_FRACTION) * random));
    }

    /**
     * Records that a cache answered fast, rejected a request or was slow. Equal numbers of fast and
     * slow answers balance, so that lost answers alone shed nothing. Guards against overload that
     * outlasts its cause, as at servers that slow down under load. Cost: requests that are slow by
     * nature are shed.
     */
    void recordLoadSignal(long now, double signal) {
        double step =
                Math.max(
                        MIN_STEP,
                        Math.min(MAX_STEP, (double) (now - lastSignalAtNanos) / STEP_NANOS));
        lastSignalAtNanos = now;
        admitted = Math.max(MIN_ADMITTED, Math.min(1, admitted * Math.exp(signal * step)));
    }

    /** Returns the time after which a missing answer is a sign of overload. */
    long slowAfterNanos(RequestClass requestClass) {
        return (long) (requestClass.latencyObjectiveNanos() * SLOW_OBJECTIVE_FRACTION);
    }

    /** Returns the shortest of these times over the classes, 0 without classes. */
    long minSlowAfterNanos(List<RequestClass> classes) {
        return classes.stream().mapToLong(this::slowAfterNanos).min().orElse(0);
    }

    /** Returns whether so much is shed that needless further attempts must not be sent. */
    boolean isOverloaded() {
        return admitted < 0.5;
    }

    /** Returns whether the tenant's quota is used up; a tenant without settings has none. */
    boolean isOverQuota(long now, int tenant) {
        if (tenant >= tokens.length) {
            return false;
        }
        double rate = settings.tenants().get(tenant).quotaPerSecond() / settings.instanceCount();
        tokens[tenant] =
                Math.min(
                        BURST,
                        tokens[tenant] + (now - refilledAtNanos[tenant]) * SECONDS_PER_NANO * rate);
        refilledAtNanos[tenant] = now;
        return tokens[tenant] < 1;
    }

    /**
     * Counts an admitted request. Rejected ones do not count: their retries must not use up the
     * tenant's quota.
     */
    void consumeQuota(int tenant) {
        if (tenant < tokens.length) {
            tokens[tenant] = Math.max(0, tokens[tenant] - 1);
        }
    }

    /** An attempt of a serialized request ended. */
    void recordWriteDuration(long durationNanos) {
        meanWriteNanos += (durationNanos - meanWriteNanos) / WRITE_SMOOTHING;
    }
}
