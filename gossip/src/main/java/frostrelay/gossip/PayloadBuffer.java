package frostrelay.gossip;

import java.nio.ByteBuffer;

/**
 * The room that a datagram has left for {@link PayloadProvider}. Valid during the call that hands
 * it out only.
 */
public final class PayloadBuffer {
    private final ByteBuffer out;
    private int maxBytes;

    PayloadBuffer(ByteBuffer out) {
        this.out = out;
    }

    PayloadBuffer withMaxBytes(int bytes) {
        maxBytes = bytes;
        return this;
    }

    /**
     * Bytes that one more section's content may have; negative where not even an empty one fits.
     */
    public int availableBytes() {
        return GossipDatagram.availableBytes(out, maxBytes);
    }

    /**
     * Adds a section, of a type from {@link PayloadProvider#FIRST_SECTION_TYPE} to 255; false where
     * it does not fit.
     */
    public boolean add(int type, ByteBuffer content) {
        if (type < PayloadProvider.FIRST_SECTION_TYPE || type > 255 || content.remaining() > 255) {
            throw new IllegalArgumentException(
                    "section " + type + " of " + content.remaining() + " bytes");
        }
        if (content.remaining() > availableBytes()) {
            return false;
        }
        out.put((byte) type).put((byte) content.remaining()).put(content);
        return true;
    }
}
