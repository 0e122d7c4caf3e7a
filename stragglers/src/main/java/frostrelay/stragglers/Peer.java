package frostrelay.stragglers;

import frostrelay.peers.Stamp;
import frostrelay.peers.State;

/** What is known of another balancer. For {@link Stragglers} alone. */
final class Peer {
    State state = State.UNKNOWN;

    /** What it was last known to act on, or null. */
    Stamp stamp;

    /** The life that it is in: its start in Unix milliseconds as it saw it. */
    long life;

    /** Since when it acts on that configuration in this life, as far as was heard. */
    long configSince;

    /** When it was last known to say so itself. */
    long saidAt;

    /**
     * Since when it acts on an older list than this balancer does, {@link Long#MAX_VALUE} if it
     * does not.
     */
    long olderSince = Long.MAX_VALUE;

    boolean alive() {
        return state == State.ALIVE && stamp != null;
    }
}
