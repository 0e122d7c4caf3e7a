package frostrelay.healthreports;

/**
 * Evidence about a cache from the outcome of one attempt. The ordinals are part of the wire format.
 */
public enum AttemptObservation {
    /** The cache answered. */
    ANSWERED,
    /** The cache answered with an error of its own or of its origin. */
    FAILED,
    /** The cache rejected the request although its deadline was not near. */
    TURNED_AWAY,
    /** No answer in time, or a hedged request sent later was answered first. */
    SILENT,
    /** The connection was reset during the request. */
    RESET,
    /** No connection could be established. */
    UNREACHABLE;

    /** Returns this observation's bit in a set of observations. */
    public int bit() {
        return 1 << ordinal();
    }

    /** Observations that the cache or the network causes, never the origin. */
    static final int UNREACHABLE_BITS = RESET.bit() | UNREACHABLE.bit();
}
