package frostrelay.testbed.client;

import frostrelay.testbed.scenario.ClassSpec;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.scenario.TenantSpec;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * The random sequence of requests and their send times. Arrivals do not depend on responses, so a
 * slow balancer cannot reduce its own load. The same scenario gives the same plan. Not thread-safe.
 */
public final class RequestPlan {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MIX = 0x9E3779B97F4A7C15L;

    private final Scenario scenario;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential gaps;
    private final SharedStateDiscreteSampler keys;
    private long number;
    private double atNanos;

    /** Creates the plan from the seed, load, classes and tenants of a scenario. */
    public RequestPlan(Scenario scenario) {
        this.scenario = scenario;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed());
        gaps = ZigguratSampler.Exponential.of(random);
        keys =
                RejectionInversionZipfSampler.of(
                        random, scenario.load().keyCount(), scenario.load().zipfExponent());
    }

    /** Returns the next request. {@code loadFactor}: the current multiple of the planned rate. */
    public PlannedRequest next(double loadFactor) {
        atNanos +=
                gaps.sample()
                        * NANOS_PER_SECOND
                        / (scenario.load().requestsPerSecond() * loadFactor);
        ClassSpec requestClass =
                drawWeighted(scenario.classes(), ClassSpec::fraction, random.nextDouble());
        long work =
                requestClass.minWorkNanos()
                        + (long)
                                (random.nextDouble()
                                        * (requestClass.maxWorkNanos()
                                                - requestClass.minWorkNanos()));
        double patience =
                scenario.load().minPatience()
                        + random.nextDouble()
                                * (scenario.load().maxPatience() - scenario.load().minPatience());
        String tenant =
                drawWeighted(scenario.tenants(), TenantSpec::fraction, random.nextDouble()).name();
        return new PlannedRequest(
                number++, (long) atNanos, requestClass, tenant, key(keys.sample()), work, patience);
    }

    /**
     * Returns the key of a popularity rank as sixteen hexadecimal digits, mixed so that keys of
     * similar popularity are not adjacent when sorted.
     */
    private static String key(long rank) {
        return String.format(Locale.ROOT, "%016x", rank * MIX);
    }

    /**
     * Selects an element by its weight with a random number from 0 to 1; returns the last one if
     * the weights add up to less than 1.
     */
    private static <T> T drawWeighted(List<T> all, ToDoubleFunction<T> fraction, double draw) {
        double remaining = draw;
        for (T one : all) {
            remaining -= fraction.applyAsDouble(one);
            if (remaining < 0) {
                return one;
            }
        }
        return all.get(all.size() - 1);
    }
}
