package frostrelay.staleness;

/** Whether a peer's reports of shared state are to be used. */
public enum PeerFreshness {
    /** It applies a list as new as this balancer's, or has not been behind for long. */
    CURRENT,
    /**
     * It has applied an older list than this balancer for longer than the bound: its reports are
     * ignored until it is current.
     */
    PASSED_OVER,
    /** Which versions it applies is not known. */
    UNKNOWN
}
