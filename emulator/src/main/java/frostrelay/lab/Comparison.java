package frostrelay.lab;

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
    private static final double LEVEL = 0.05;

    /**
     * One metric at one point. {@code chance}: how likely such a difference is where there is none,
     * corrected.
     */
    public record Difference(
            String point,
            String metric,
            int days,
            Interval first,
            Interval second,
            Interval apart,
            double chance) {
        /** Whether it is more than chance. */
        public boolean beyondChance() {
            return chance < LEVEL;
        }
    }

    private Comparison() {}

    /**
     * Compares points that both files have, by label, over the seeds that both have: at least two.
     */
    public static List<Difference> of(ResultsFile.Held first, ResultsFile.Held second) {
        List<Difference> all = new ArrayList<>();
        for (int point = 0; point < first.points().size(); point++) {
            int other = second.points().indexOf(first.points().get(point));
            if (other >= 0) {
                all.addAll(compare(first.points().get(point), first.of(point), second.of(other)));
            }
        }
        return holm(all);
    }

    /** Compares two points of one file. */
    public static List<Difference> of(ResultsFile.Held held, int first, int second) {
        return holm(compare(held.points().get(second), held.of(first), held.of(second)));
    }

    private static List<Difference> compare(String label, List<Day> first, List<Day> second) {
        Map<Long, Day> bySeed =
                second.stream().collect(Collectors.toMap(Day::seed, Function.identity()));
        List<Day[]> pairs = new ArrayList<>();
        for (Day day : first) {
            if (bySeed.containsKey(day.seed())) {
                pairs.add(new Day[] {day, bySeed.get(day.seed())});
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
                double[] one =
                        pairs.stream().mapToDouble(pair -> pair[0].metrics().get(metric)).toArray();
                double[] two =
                        pairs.stream().mapToDouble(pair -> pair[1].metrics().get(metric)).toArray();
                double[] apart = new double[one.length];
                for (int i = 0; i < apart.length; i++) {
                    apart[i] = two[i] - one[i];
                }
                all.add(
                        new Difference(
                                label,
                                metric,
                                one.length,
                                Interval.of(one),
                                Interval.of(two),
                                Interval.of(apart),
                                Interval.chance(apart)));
            }
        }
        return all;
    }

    private static List<Difference> holm(List<Difference> all) {
        List<Difference> sorted = new ArrayList<>(all);
        sorted.sort(Comparator.comparingDouble(Difference::chance));
        List<Difference> corrected = new ArrayList<>();
        double least = 0;
        for (int i = 0; i < sorted.size(); i++) {
            Difference one = sorted.get(i);
            least = Math.max(least, Math.min(1, one.chance * (sorted.size() - i)));
            corrected.add(
                    new Difference(
                            one.point,
                            one.metric,
                            one.days,
                            one.first,
                            one.second,
                            one.apart,
                            least));
        }
        return corrected;
    }
}
