package frostrelay.gossip;

/**
 * The state of a member as known to the local member. {@link #UNKNOWN} is treated neither as
 * healthy nor as dead.
 */
public enum MemberState {
    /** No information about the member was received since this process started. */
    UNKNOWN,
    /** The member recently confirmed that it is alive, and no member suspects it. */
    ALIVE,
    /** Direct and indirect probes of the member got no answer; it may still refute that. */
    SUSPECTED,
    /** The member did not refute a suspicion in time. */
    GONE,
    /** The member notified its peers of its shutdown. */
    LEFT;

    /** Returns whether the member takes part in the cluster. */
    public boolean isParticipating() {
        return this == ALIVE || this == SUSPECTED;
    }

    /** Returns whether the member was declared dead or has left. */
    boolean hasEnded() {
        return this == GONE || this == LEFT;
    }
}
