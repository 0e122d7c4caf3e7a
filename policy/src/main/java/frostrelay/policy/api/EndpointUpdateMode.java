package frostrelay.policy.api;

/** How an endpoint list update is to be applied. */
public enum EndpointUpdateMode {
    /** Only the changed entries are given. */
    DELTA,
    /** All entries are given; others are removed. */
    FULL,
    /** All entries of the last cached list are given: no fresh one is available yet. */
    CACHED,
    /** The call for a list failed; no entries are given and the current list stays. */
    FAILED
}
