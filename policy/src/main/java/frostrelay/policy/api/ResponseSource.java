package frostrelay.policy.api;

/** Where a read's answer came from. */
public enum ResponseSource {
    /** The cache did not report it. */
    UNKNOWN,
    /** A cache held the value. */
    CACHE,
    /** The value was fetched from the origin. */
    ORIGIN
}
