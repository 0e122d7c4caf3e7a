package frostrelay.gossip;

/**
 * What is believed of a balancer. {@link #UNKNOWN} is a state of its own: neither fine nor dead.
 */
public enum MemberState {
    /** Never heard of since this process began. */
    UNKNOWN,
    /** It said so lately enough that nobody suspects it. */
    ALIVE,
    /** Somebody could not reach it, straight or through others; it may still object. */
    SUSPECTED,
    /** It did not object in time. */
    GONE,
    /** It said that it ends. */
    LEFT;

    /** Whether it is counted among those that take part. */
    public boolean isParticipating() {
        return this == ALIVE || this == SUSPECTED;
    }
}
