package frostrelay.policy.api;

/**
 * How a list is to be applied: changed entries, all entries, the last held list, or a failed call.
 */
public enum EndpointUpdateMode {
    DELTA,
    FULL,
    CACHED,
    FAILED
}
