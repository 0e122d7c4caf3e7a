package frostrelay.rig.client;

import frostrelay.rig.day.ClassSpec;
import frostrelay.rig.day.Day;
import frostrelay.rig.day.TenantSpec;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Who asks what and when, drawn ahead of time: arrivals do not wait for answers, so that a slow
 * balancer cannot make its own load lighter. The same day gives the same plan. Not safe for
 * threads.
 */
public final class RequestPlan {
    private static final double NANOS = 1e9;
    private static final long MIX = 0x9E3779B97F4A7C15L;

    private final Day day;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential gaps;
    private final SharedStateDiscreteSampler keys;
    private long number;
    private double at;

    /** {@code day}: its seed, load, classes and tenants. */
    public RequestPlan(Day day) {
        this.day = day;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(day.seed());
        gaps = ZigguratSampler.Exponential.of(random);
        keys = RejectionInversionZipfSampler.of(random, day.load().keys(), day.load().zipf());
    }

    /** The next request. {@code surge}: how many times the planned rate holds just now. */
    public Planned next(double surge) {
        at += gaps.sample() * NANOS / (day.load().rate() * surge);
        ClassSpec requestClass = drawn(day.classes(), ClassSpec::share, random.nextDouble());
        long work =
                requestClass.workLeast()
                        + (long)
                                (random.nextDouble()
                                        * (requestClass.workMost() - requestClass.workLeast()));
        double patience =
                day.load().patienceLeast()
                        + random.nextDouble()
                                * (day.load().patienceMost() - day.load().patienceLeast());
        String tenant = drawn(day.tenants(), TenantSpec::share, random.nextDouble()).name();
        return new Planned(
                number++, (long) at, requestClass, tenant, key(keys.sample()), work, patience);
    }

    /**
     * Sixteen hexadecimal digits, spread so that neighbours in popularity are no neighbours in any
     * order.
     */
    private static String key(long rank) {
        return String.format(Locale.ROOT, "%016x", rank * MIX);
    }

    /**
     * One of some, by their shares, for a draw from 0 to 1; the last where shares fall short of 1.
     */
    private static <T> T drawn(List<T> all, ToDoubleFunction<T> share, double draw) {
        double rest = draw;
        for (T one : all) {
            rest -= share.applyAsDouble(one);
            if (rest < 0) {
                return one;
            }
        }
        return all.get(all.size() - 1);
    }
}
