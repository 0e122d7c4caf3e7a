package frostrelay.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * What differs between two sets of days beyond chance: by differences of days with the same seed,
 * Student's t, and Holm's correction over all that is compared (Holm 1979), so that of many metrics
 * none differs by luck alone.
 */
public final class Comparison {
    private static final double SIGNIFICANCE_LEVEL = 0.05;

    /**
     * One metric at one point. {@code pValue}: how likely such a difference is where there is none,
     * corrected.
     */
    public record Difference(
            String point,
            String metric,
            int days,
            Interval first,
            Interval second,
            Interval difference,
            double pValue) {
        /** Whether it is more than chance. */
        public boolean isSignificant() {
            return pValue < SIGNIFICANCE_LEVEL;
        }
    }

    private Comparison() {}

    /**
     * Compares points that both files have, by label, over the seeds that both have: at least two.
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
