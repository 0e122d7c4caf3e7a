package frostrelay.peers;

/**
 * What this balancer knows of another. {@code state}: {@link State#UNKNOWN} also where this one
 * hears nobody; {@code stamp}: what it was last known to act on, or null; {@code sequence}: how
 * often its stamp had changed in its life {@code incarnation}; {@code age}: nanoseconds since it
 * said so itself, negative where it never did.
 */
public record Known(
        int rank, State state, long incarnation, int sequence, int ref, Stamp stamp, long age) {}
