package frostrelay.staleness;

/** Whether what another says of shared state is to be gone by. */
public enum PeerFreshness {
    /** It acts on a list as new as this balancer's, or has not been behind for long. */
    CURRENT,
    /**
     * It has acted on an older list than this balancer for longer than the bound: a straggler,
     * passed over until it is current.
     */
    PASSED_OVER,
    /** What it acts on is not known. */
    UNKNOWN
}
