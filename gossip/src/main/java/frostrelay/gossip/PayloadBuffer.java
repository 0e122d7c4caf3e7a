package frostrelay.gossip;

import java.nio.ByteBuffer;

/**
 * The space remaining in a datagram for a {@link PayloadProvider}. Valid only during the call to
 * which it is passed.
 */
public final class PayloadBuffer {
    private static final int MAX_SECTION_TYPE = 255;
    private static final int MAX_CONTENT_BYTES = 255;

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
     * Returns the maximum content length of one more section; negative if not even an empty section
     * fits.
     */
    public int availableBytes() {
        return GossipDatagram.availableBytes(out, maxBytes);
    }

    /**
     * Adds a section.
     *
     * @param type from {@link PayloadProvider#FIRST_SECTION_TYPE} to 255
     * @return false if it does not fit
     * @throws IllegalArgumentException for a type out of range or content of over 255 bytes
     */
    public boolean add(int type, ByteBuffer content) {
        if (type < PayloadProvider.FIRST_SECTION_TYPE
                || type > MAX_SECTION_TYPE
                || content.remaining() > MAX_CONTENT_BYTES) {
            throw new IllegalArgumentException(
                    "section type "
                            + type
                            + " with "
                            + content.remaining()
                            + " bytes: allowed are types "
                            + PayloadProvider.FIRST_SECTION_TYPE
                            + " to "
                            + MAX_SECTION_TYPE
                            + " with at most "
                            + MAX_CONTENT_BYTES
                            + " bytes");
        }
        if (content.remaining() > availableBytes()) {
            return false;
        }
        out.put((byte) type).put((byte) content.remaining()).put(content);
        return true;
    }
}
