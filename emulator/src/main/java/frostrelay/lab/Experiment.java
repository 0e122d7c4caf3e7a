package frostrelay.lab;

import frostrelay.emulator.Plant;

import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;

/**
 * Plants to be played with the same seeds. {@code digest}: of everything that says what is played;
 * results belong to it. {@code stop}: null for none.
 */
public record Experiment(String name, String digest, List<Point> points, int seeds, Stop stop) {
    /**
     * One plant. {@code settings}: what a sweep set, by key; empty for a plant of its own. {@code
     * draws}: makes the plant of a seed where values are drawn anew for each; {@code plant} is that
     * of the first then.
     */
    public record Point(
            String label, Map<String, String> settings, Plant plant, LongFunction<Plant> draws) {
        /** A plant that differs by its seed alone. */
        public Point(String label, Map<String, String> settings, Plant plant) {
            this(label, settings, plant, plant::seeded);
        }
    }

    /**
     * A point is done once the 95% interval of a metric's mean is this narrow, after {@code least}
     * seeds.
     */
    public record Stop(String metric, double half, int least) {
        /** Whether so many days are enough. */
        boolean enough(List<Day> days) {
            return days.size() >= least
                    && days.stream().allMatch(day -> day.metrics().containsKey(metric))
                    && Interval.of(
                                            days.stream()
                                                    .mapToDouble(day -> day.metrics().get(metric))
                                                    .toArray())
                                    .half()
                            <= half;
        }
    }
}
