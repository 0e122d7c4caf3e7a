package frostrelay.staleness;

/** The freshness of a peer, which determines whether its reports of shared state are used. */
public enum PeerFreshness {
    /** The peer's list is at least as new as the local one, or was older only for a short time. */
    CURRENT,
    /**
     * The peer has applied an older list than this balancer for longer than the staleness bound.
     * Its reports are ignored until it is current.
     */
    PASSED_OVER,
    /** The peer is not alive, its versions are not known, or this balancer is isolated. */
    UNKNOWN
}
