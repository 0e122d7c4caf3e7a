package frostrelay.policy.api;

/** The source of a read's answer. */
public enum ResponseSource {
    /** The cache did not report it. */
    UNKNOWN,
    /** A cache held the value. */
    CACHE,
    /** The value was fetched from the origin. */
    ORIGIN
}
