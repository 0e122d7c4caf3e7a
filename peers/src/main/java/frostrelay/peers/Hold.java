package frostrelay.peers;

import java.nio.ByteBuffer;

/**
 * The room that a datagram has left for {@link Cargo}. Valid during the call that hands it out
 * only.
 */
public final class Hold {
    private final ByteBuffer out;
    private int most;

    Hold(ByteBuffer out) {
        this.out = out;
    }

    Hold under(int bytes) {
        most = bytes;
        return this;
    }

    /**
     * Bytes that one more section's content may have; negative where not even an empty one fits.
     */
    public int room() {
        return Datagram.room(out, most);
    }

    /**
     * Adds a section, of a type from {@link Cargo#FIRST_TYPE} to 255; false where it does not fit.
     */
    public boolean add(int type, ByteBuffer content) {
        if (type < Cargo.FIRST_TYPE || type > 255 || content.remaining() > 255) {
            throw new IllegalArgumentException(
                    "section " + type + " of " + content.remaining() + " bytes");
        }
        if (content.remaining() > room()) {
            return false;
        }
        out.put((byte) type).put((byte) content.remaining()).put(content);
        return true;
    }
}
