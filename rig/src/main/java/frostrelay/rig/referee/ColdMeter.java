package frostrelay.rig.referee;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How much work has reached a machine lately against what it can do while it warms up: the budget
 * of any window is multiple x present capacity x window. No I/O and no clock; times in nanoseconds.
 * Not safe for threads.
 */
public final class ColdMeter {
    /** A share of the budget that chance may use before it counts as a breach. */
    private static final double SLACK = 1.1;

    /** How a machine warms: from a share of its capacity, evenly over a time. */
    public record Warmth(double from, long within, double multiple, long window) {
        /** Present capacity as a part of the full, {@code age} nanoseconds after the start. */
        public double part(long age) {
            return age >= within ? 1 : from + (1 - from) * Math.max(0, age) / within;
        }
    }

    private record Arrival(long at, double work) {}

    private final Warmth warmth;
    private final double cores;
    private final long startedAt;
    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private double sum;

    /** {@code cores}: full capacity, in nanoseconds of work a nanosecond. */
    public ColdMeter(Warmth warmth, double cores, long startedAt) {
        this.warmth = warmth;
        this.cores = cores;
        this.startedAt = startedAt;
    }

    /** Counts work that came; true if the window that ends now holds more than its budget. */
    public boolean reached(long now, double work) {
        arrivals.add(new Arrival(now, work));
        sum += work;
        while (arrivals.peek().at < now - warmth.window) {
            sum -= arrivals.poll().work;
        }
        if (now - startedAt > warmth.within) {
            return false;
        }
        // Capacity rises, so that of the window's end is the most it can be held to.
        return sum > SLACK * warmth.multiple * warmth.part(now - startedAt) * cores * warmth.window;
    }
}
