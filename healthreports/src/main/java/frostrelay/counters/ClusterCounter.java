package frostrelay.counters;

import java.util.Locale;

/**
 * Counters that each balancer keeps since its start. The order is part of the wire format: new
 * constants are added at the end.
 */
public enum ClusterCounter {
    /** Clients' requests, without their retries. */
    FIRST_TRIES,
    /** Clients' retries of earlier requests. */
    REPEATS,
    /** Attempts written to caches. */
    SENDS,
    /** Attempts that have ended; the difference to {@link #SENDS} is in flight. */
    ENDS,
    /** Hedged requests: attempts written while another of the same request was in flight. */
    COPIES,
    /** Reads that a cache answered with a value it fetched from the origin. */
    FETCHES,
    /** Attempts that a cache answered with a failure. */
    FAILED,
    /** Requests that this balancer rejected. */
    REFUSED;

    /** Returns the name in admin output: lower case with hyphens. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
