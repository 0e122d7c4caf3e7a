package frostrelay.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * A paired comparison of two sets of runs. It applies Student's t-test to the differences between
 * runs with the same seed, with Holm's correction (Holm 1979), because some of many compared
 * metrics would otherwise appear significant by chance.
 */
public final class Comparison {
    private static final double SIGNIFICANCE_LEVEL = 0.05;

    /**
     * The difference of one metric at one point; {@code pValue} is corrected for multiple
     * comparisons.
     */
    public record Difference(
            String point,
            String metric,
            int days,
            Interval first,
            Interval second,
            Interval difference,
            double pValue) {
        /** Returns whether the difference is statistically significant. */
        public boolean isSignificant() {
            return pValue < SIGNIFICANCE_LEVEL;
        }
    }

    private Comparison() {}

    /**
     * Compares the points whose labels are in both files, over their common seeds; points with
     * fewer than two common seeds are skipped.
     */
    public static List<Difference> of(
            ResultsFile.StoredResults first, ResultsFile.StoredResults second) {
        List<Difference> all = new ArrayList<>();
        for (int point = 0; point < first.points().size(); point++) {
            int other = second.points().indexOf(first.points().get(point));
            if (other >= 0) {
                all.addAll(
                        compare(
                                first.points().get(point),
                                first.resultsOf(point),
                                second.resultsOf(other)));
            }
        }
        return correctByHolm(all);
    }

    /** Compares two points of one file. */
    public static List<Difference> of(ResultsFile.StoredResults results, int first, int second) {
        return correctByHolm(
                compare(
                        results.points().get(second),
                        results.resultsOf(first),
                        results.resultsOf(second)));
    }

    private static List<Difference> compare(
            String label, List<RunResult> first, List<RunResult> second) {
        Map<Long, RunResult> bySeed =
                second.stream().collect(Collectors.toMap(RunResult::seed, Function.identity()));
        List<RunResult[]> pairs = new ArrayList<>();
        for (RunResult result : first) {
            if (bySeed.containsKey(result.seed())) {
                pairs.add(new RunResult[] {result, bySeed.get(result.seed())});
            }
        }
        List<Difference> all = new ArrayList<>();
        if (pairs.size() < 2) {
            return all;
        }
        for (String metric : Metrics.NAMES) {
            if (pairs.stream()
                    .allMatch(
                            pair ->
                                    pair[0].metrics().containsKey(metric)
                                            && pair[1].metrics().containsKey(metric))) {
                double[] firstValues =
                        pairs.stream().mapToDouble(pair -> pair[0].metrics().get(metric)).toArray();
                double[] secondValues =
                        pairs.stream().mapToDouble(pair -> pair[1].metrics().get(metric)).toArray();
                double[] differences = new double[firstValues.length];
                for (int i = 0; i < differences.length; i++) {
                    differences[i] = secondValues[i] - firstValues[i];
                }
                all.add(
                        new Difference(
                                label,
                                metric,
                                firstValues.length,
                                Interval.of(firstValues),
                                Interval.of(secondValues),
                                Interval.of(differences),
                                Interval.pValue(differences)));
            }
        }
        return all;
    }

    private static List<Difference> correctByHolm(List<Difference> all) {
        List<Difference> sorted = new ArrayList<>(all);
        sorted.sort(Comparator.comparingDouble(Difference::pValue));
        List<Difference> corrected = new ArrayList<>();
        double minPValue = 0;
        for (int i = 0; i < sorted.size(); i++) {
            Difference difference = sorted.get(i);
            minPValue = Math.max(minPValue, Math.min(1, difference.pValue * (sorted.size() - i)));
            corrected.add(
                    new Difference(
                            difference.point,
                            difference.metric,
                            difference.days,
                            difference.first,
                            difference.second,
                            difference.difference,
                            minPValue));
        }
        return corrected;
    }
}
