package frostrelay.policy.api;

/** Where a read's answer came from, for caches that tell. */
public enum ResponseSource {
    UNKNOWN,
    CACHE,
    ORIGIN
}
