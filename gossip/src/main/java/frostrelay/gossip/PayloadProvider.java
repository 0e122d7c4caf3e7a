package frostrelay.gossip;

/**
 * A provider of other modules' sections, which use the space remaining in the datagrams of the
 * gossip protocol. Called for each datagram, so that the sections may differ by receiver.
 */
public interface PayloadProvider {
    /** The lowest section type of other modules; those below belong to the gossip protocol. */
    int FIRST_SECTION_TYPE = 16;

    /** A provider without sections. */
    PayloadProvider NONE = (now, destination, payload) -> {};

    /** Writes the sections for the member {@code destination}, the most urgent first. */
    void writeSections(long now, int destination, PayloadBuffer payload);
}
