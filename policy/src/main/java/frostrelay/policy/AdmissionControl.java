package frostrelay.policy;

import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.RequestClass;

import java.util.Arrays;
import java.util.List;

/**
 * Sheds load before any attempt is sent, based on each tenant's quota and an admitted fraction that
 * is adjusted by load signals from the fleet.
 */
final class AdmissionControl {
    /**
     * Capacity of a tenant's token bucket, in requests. With a smaller one, random bursts would
     * exceed the quota.
     */
    private static final double BUCKET_CAPACITY = 20;

    /**
     * Limits of the change in the logarithm of the admitted fraction for a signal of strength 1.
     * The step grows with the time since the last signal, so that a balancer that receives few
     * signals weights each one more.
     */
    private static final double MIN_STEP = 0.02;

    private static final double MAX_STEP = 0.15;

    /** Time since the last signal that gives a step of 1, before the limits. */
    private static final long STEP_NANOS = 1_000_000_000L;

    /** Fraction of the latency objective after which a missing answer indicates overload. */
    private static final double SLOW_OBJECTIVE_FRACTION = 0.45;

    /** Load signals for a rejection and for a slow request; a fast answer is 1. */
    static final double REJECTION_SIGNAL = -2.5;

    static final double SLOWNESS_SIGNAL = -1;

    /** Load signal that leaves the admitted fraction unchanged. */
    static final double NEUTRAL_SIGNAL = 0;

    private static final double MIN_ADMITTED = 0.05;

    /** Smallest Retry-After as a fraction of the largest at the same load. */
    private static final double MIN_WAIT_FRACTION = 0.25;

    /** Attempts over which the mean write duration is averaged. */
    private static final int WRITE_AVERAGE_ATTEMPTS = 8;

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

    /** Applies new settings. Tenants keep their indexes and the tokens in their buckets. */
    void onSettings(PolicySettings newSettings) {
        settings = newSettings;
        tokens = Arrays.copyOf(tokens, newSettings.tenants().size());
        refilledAtNanos = Arrays.copyOf(refilledAtNanos, tokens.length);
    }

    /**
     * Returns whether to shed a request. Prevents caches from staying full and slow under lasting
     * overload. Traffic over its quota is shed first, writes last.
     */
    boolean shouldShed(boolean isOverQuota, boolean isWrite, double randomUnit) {
        double passProbability = Math.max(0, isOverQuota ? 2 * admitted - 1 : 2 * admitted);
        return randomUnit >= (isWrite ? Math.sqrt(passProbability) : passProbability);
    }

    /**
     * Returns the Retry-After of a shed request: 0 while little load is shed, and spread over most
     * of the time to the deadline while nearly all of it is. Without it, rejected clients retry
     * ever more often, and handling the retries takes up the balancer's time. The cost is that a
     * request misses its latency objective even if an immediate retry would be admitted.
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
     * Adjusts the admitted fraction after a cache answered fast, rejected a request or was slow.
     * Equal numbers of fast and slow answers cancel out, so that lost answers alone shed nothing.
     * Prevents overload that outlasts its cause, as with servers that slow down under load. The
     * cost is that inherently slow requests are shed.
     */
    void recordLoadSignal(long now, double signal) {
        double step =
                Math.max(
                        MIN_STEP,
                        Math.min(MAX_STEP, (double) (now - lastSignalAtNanos) / STEP_NANOS));
        lastSignalAtNanos = now;
        admitted = Math.max(MIN_ADMITTED, Math.min(1, admitted * Math.exp(signal * step)));
    }

    /** Returns the time after which a missing answer indicates overload. */
    long slowAfterNanos(RequestClass requestClass) {
        return (long) (requestClass.latencyObjectiveNanos() * SLOW_OBJECTIVE_FRACTION);
    }

    /** Returns the minimum of {@link #slowAfterNanos} over the classes, 0 without classes. */
    long minSlowAfterNanos(List<RequestClass> classes) {
        return classes.stream().mapToLong(this::slowAfterNanos).min().orElse(0);
    }

    /** Returns whether the admitted fraction is too low for optional further attempts. */
    boolean isOverloaded() {
        return admitted < 0.5;
    }

    /** Returns whether the tenant's quota is used up; an unconfigured tenant has no quota. */
    boolean isOverQuota(long now, int tenant) {
        if (tenant >= tokens.length) {
            return false;
        }
        double rate = settings.tenants().get(tenant).quotaPerSecond() / settings.instanceCount();
        tokens[tenant] =
                Math.min(
                        BUCKET_CAPACITY,
                        tokens[tenant] + (now - refilledAtNanos[tenant]) * SECONDS_PER_NANO * rate);
        refilledAtNanos[tenant] = now;
        return tokens[tenant] < 1;
    }

    /**
     * Counts an admitted request. Rejected requests do not count, as their retries would otherwise
     * use up the tenant's quota.
     */
    void consumeQuota(int tenant) {
        if (tenant < tokens.length) {
            tokens[tenant] = Math.max(0, tokens[tenant] - 1);
        }
    }

    /** Records the duration of an attempt of a serialized request. */
    void recordWriteDuration(long durationNanos) {
        meanWriteNanos += (durationNanos - meanWriteNanos) / WRITE_AVERAGE_ATTEMPTS;
    }
}
