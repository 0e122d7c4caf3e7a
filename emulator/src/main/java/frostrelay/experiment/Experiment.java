package frostrelay.experiment;

import frostrelay.emulator.SystemModel;

import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;

/**
 * System models to simulate with the same seeds. {@code digest} covers all inputs and identifies
 * the results that belong to the experiment; {@code stopRule} may be null.
 */
public record Experiment(
        String name, String digest, List<Point> points, int seeds, StopRule stopRule) {
    /**
     * One system model. {@code settings} are the swept values by key, empty without a sweep. {@code
     * modelOfSeed} creates the model for a seed, with newly sampled values if it has any; {@code
     * model} is the one for the first seed.
     */
    public record Point(
            String label,
            Map<String, String> settings,
            SystemModel model,
            LongFunction<SystemModel> modelOfSeed) {
        /** Creates a point whose model differs between runs only by its seed. */
        public Point(String label, Map<String, String> settings, SystemModel model) {
            this(label, settings, model, model::withSeed);
        }
    }

    /**
     * A rule that ends a point when the 95% confidence interval of a metric's mean is narrow
     * enough, after at least {@code minSeeds} seeds.
     */
    public record StopRule(String metric, double maxHalfWidth, int minSeeds) {
        /** Returns whether these runs satisfy the rule. */
        boolean isReached(List<RunResult> results) {
            return results.size() >= minSeeds
                    && results.stream().allMatch(result -> result.metrics().containsKey(metric))
                    && Interval.of(
                                            results.stream()
                                                    .mapToDouble(
                                                            result -> result.metrics().get(metric))
                                                    .toArray())
                                    .halfWidth()
                            <= maxHalfWidth;
        }
    }
}
