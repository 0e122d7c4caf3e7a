package frostrelay.gossip;

/**
 * What other modules have told along in the talk of who is there: whole sections of types of their
 * own, in what room a datagram has left. Loaded anew for each datagram, so that it may differ by
 * receiver.
 */
public interface PayloadProvider {
    /**
     * The least type of a section that belongs to other modules; those below are the talk's own.
     */
    int FIRST_SECTION_TYPE = 16;

    /** Nothing. */
    PayloadProvider NONE = (now, to, hold) -> {};

    /** Loads sections for the balancer {@code destination}, the most urgent first. */
    void writeSections(long now, int destination, PayloadBuffer payload);
}
