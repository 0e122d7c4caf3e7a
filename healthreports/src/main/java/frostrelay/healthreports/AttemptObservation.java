package frostrelay.healthreports;

/** What an attempt at a cache told its balancer of the cache. */
public enum AttemptObservation {
    /** It answered. */
    ANSWERED,
    /** It said that it failed: its own fault, or that of what is behind it. */
    FAILED,
    /** It turned work away though it had time to spare. */
    TURNED_AWAY,
    /** No answer came in time, or a copy sent later was answered first. */
    SILENT,
    /** The connection was reset under the request. */
    RESET,
    /** No connection came up. */
    UNREACHABLE;

    /** Its place in a set of them. */
    public int bit() {
        return 1 << ordinal();
    }

    /** The cause lies at the cache or on the way to it, not behind it. */
    static final int UNREACHABLE_BITS = RESET.bit() | UNREACHABLE.bit();
}
