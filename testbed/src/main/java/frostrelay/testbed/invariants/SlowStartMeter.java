package frostrelay.testbed.invariants;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Compares the recent work of a machine with its capacity during slow start: the budget of any
 * window is multiple x current capacity x window. No I/O and no clock; times in nanoseconds. Not
 * thread-safe.
 */
public final class SlowStartMeter {
    /** The multiple of the budget up to which random variation is tolerated. */
    private static final double TOLERANCE = 1.1;

    /**
     * The slow start of a machine: its capacity rises linearly from an initial fraction over the
     * ramp time.
     */
    public record SlowStartProfile(
            double initialFraction, long rampNanos, double overloadMultiple, long windowNanos) {
        /**
         * Returns the fraction of full capacity that is available {@code ageNanos} nanoseconds
         * after the start.
         */
        public double capacityFraction(long ageNanos) {
            return ageNanos >= rampNanos
                    ? 1
                    : initialFraction + (1 - initialFraction) * Math.max(0, ageNanos) / rampNanos;
        }
    }

    private record Arrival(long arrivedAtNanos, double workNanos) {}

    private final SlowStartProfile profile;
    private final double cores;
    private final long startedAtNanos;
    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private double windowWorkNanos;

    /** Creates a meter. {@code cores}: full capacity, in nanoseconds of work per nanosecond. */
    public SlowStartMeter(SlowStartProfile profile, double cores, long startedAtNanos) {
        this.profile = profile;
        this.cores = cores;
        this.startedAtNanos = startedAtNanos;
    }

    /** Adds received work and returns whether the window that ends now exceeds its budget. */
    public boolean addWork(long now, double workNanos) {
        arrivals.add(new Arrival(now, workNanos));
        windowWorkNanos += workNanos;
        while (arrivals.peek().arrivedAtNanos < now - profile.windowNanos) {
            windowWorkNanos -= arrivals.poll().workNanos;
        }
        if (now - startedAtNanos > profile.rampNanos) {
            return false;
        }
        // Capacity rises over time, so the capacity at the end of the window gives the largest
        // budget.
        return windowWorkNanos
                > TOLERANCE
                        * profile.overloadMultiple
                        * profile.capacityFraction(now - startedAtNanos)
                        * cores
                        * profile.windowNanos;
    }
}
