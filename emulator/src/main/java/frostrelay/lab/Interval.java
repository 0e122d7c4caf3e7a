package frostrelay.lab;

import java.util.Arrays;
import org.apache.commons.statistics.distribution.TDistribution;

/** A mean and half the width of its 95% confidence interval by Student's t; the half is 0 for a single value. */
public record Interval(double mean, double half) {
    private static final double UPPER = 0.975;

    /** Of some values, at least one. */
    public static Interval of(double[] values) {
        double mean = Arrays.stream(values).average().orElseThrow();
        if (values.length < 2) {
            return new Interval(mean, 0);
        }
        double squares = Arrays.stream(values).map(value -> (value - mean) * (value - mean)).sum();
        double error = Math.sqrt(squares / (values.length - 1) / values.length);
        return new Interval(mean, error * TDistribution.of(values.length - 1).inverseCumulativeProbability(UPPER));
    }

    /** Whether zero lies outside. */
    public boolean excludesZero() {
        return Math.abs(mean) > half;
    }
}
