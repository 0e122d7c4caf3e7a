package frostrelay.counters;

import java.util.Locale;

/**
 * What each balancer counts since its life began; on the wire in this order, later ones at the end.
 */
public enum ClusterCounter {
    /** Requests of clients, but for their retries. */
    FIRST_TRIES,
    /** Clients' retries. */
    REPEATS,
    /** Attempts written to caches. */
    SENDS,
    /** Those of them that have ended: what lacks is in flight. */
    ENDS,
    /** Attempts written while another of the same request was out. */
    COPIES,
    /** Reads for which a cache went to the origin and came back with the value. */
    FETCHES,
    /** Attempts that a cache answered as failed. */
    FAILED,
    /** Requests refused by decision. */
    REFUSED;

    /** As operators read it. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
