package frostrelay.rig.day;

import frostrelay.rig.referee.Referee;

/**
 * A class of requests. {@code share}: its part of all; {@code workLeast} and {@code workMost}:
 * nanoseconds of a cache's core; {@code aim} and {@code deadline}: nanoseconds.
 */
public record ClassSpec(
        String name,
        double share,
        long workLeast,
        long workMost,
        long aim,
        long deadline,
        double worth,
        Referee.Effect effect) {
    /** Whether requests are written with ms; the others are reads. */
    public boolean write() {
        return effect != Referee.Effect.REPEATABLE;
    }
}
