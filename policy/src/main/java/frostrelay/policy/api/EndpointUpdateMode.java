package frostrelay.policy.api;

/** The way in which an endpoint list update is applied. */
public enum EndpointUpdateMode {
    /** Only the changed entries are given. */
    DELTA,
    /** All entries are given; others are removed. */
    FULL,
    /** All entries of the last cached list are given because no fresh list is available yet. */
    CACHED,
    /** The call for a list failed; no entries are given and the current list stays. */
    FAILED
}
