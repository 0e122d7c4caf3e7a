package frostrelay.healthreports;

/**
 * What the outcome of an attempt says about its cache. The ordinals are part of the wire format.
 */
public enum AttemptObservation {
    /** The cache answered. */
    ANSWERED,
    /** The cache answered with an error, its own or one of its origin. */
    FAILED,
    /** The cache rejected the request although its deadline was not near. */
    TURNED_AWAY,
    /** No answer in time, or a hedged request sent later was answered first. */
    SILENT,
    /** The connection was reset during the request. */
    RESET,
    /** No connection could be established. */
    UNREACHABLE;

    /** Its bit in a set of observations. */
    public int bit() {
        return 1 << ordinal();
    }

    /** Observations whose cause is the cache or the network, not what is behind the cache. */
    static final int UNREACHABLE_BITS = RESET.bit() | UNREACHABLE.bit();
}
