package frostrelay.experiment;

import org.apache.commons.statistics.distribution.TDistribution;

import java.util.Arrays;

/**
 * A mean and half the width of its 95% confidence interval by Student's t; the half width is 0 for
 * a single value.
 */
public record Interval(double mean, double halfWidth) {
    private static final double UPPER_QUANTILE = 0.975;

    /** Returns the interval for the mean of one or more values. */
    public static Interval of(double[] values) {
        return new Interval(
                mean(values),
                values.length < 2
                        ? 0
                        : standardError(values)
                                * TDistribution.of(values.length - 1)
                                        .inverseCumulativeProbability(UPPER_QUANTILE));
    }

    /**
     * Returns the two-sided p-value of the mean against zero by Student's t, for at least two
     * values.
     */
    static double pValue(double[] values) {
        double standardError = standardError(values);
        if (standardError == 0) {
            return mean(values) == 0 ? 1 : 0;
        }
        return 2
                * TDistribution.of(values.length - 1)
                        .survivalProbability(Math.abs(mean(values)) / standardError);
    }

    private static double mean(double[] values) {
        return Arrays.stream(values).average().orElseThrow();
    }

    private static double standardError(double[] values) {
        double mean = mean(values);
        double squares = Arrays.stream(values).map(value -> (value - mean) * (value - mean)).sum();
        return Math.sqrt(squares / (values.length - 1) / values.length);
    }
}
