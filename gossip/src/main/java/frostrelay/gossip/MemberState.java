package frostrelay.gossip;

/**
 * What is believed of a member. {@link #UNKNOWN} is a state of its own, neither healthy nor dead.
 */
public enum MemberState {
    /** Nothing was received about it since this process started. */
    UNKNOWN,
    /** It confirmed lately that it is alive, and nobody suspects it. */
    ALIVE,
    /** A member got no answer from it, directly or indirectly; it may still refute that. */
    SUSPECTED,
    /** It did not refute a suspicion in time. */
    GONE,
    /** It notified its peers that it shuts down. */
    LEFT;

    /** Whether it counts among the members that take part. */
    public boolean isParticipating() {
        return this == ALIVE || this == SUSPECTED;
    }

    /** Whether it was declared dead or has left. */
    boolean hasEnded() {
        return this == GONE || this == LEFT;
    }
}
