package frostrelay.audit;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The format of a record, big-endian. A record begins with {@link #MAGIC}; each entry is a frame:
 * u16 length of its content, u8 type, content, u32 CRC-32C of everything before it in the frame.
 * {@code docs/audit.md} describes the contents. Entries of unknown types are skipped, as are bytes
 * after the known fields, so that records of other builds can be read.
 */
public final class Codec {
    /** {@code FRAUDIT} and the version of the format. */
    public static final long MAGIC = 0x4652_4155_4449_5401L;

    /** Length, type and checksum of an entry. */
    static final int FRAME_BYTES = Short.BYTES + 1 + Integer.BYTES;

    /** The longest content that is written. */
    static final int MAX_ENTRY_BYTES = 8 * 1024;

    private static final int TYPE_OFFSET = Short.BYTES;
    private static final int CONTENT_OFFSET = TYPE_OFFSET + 1;
    private static final int INCOMPLETE = -1;

    private Codec() {}

    /** Returns a buffer large enough for any entry. */
    static ByteBuffer newBuffer() {
        return ByteBuffer.allocate(MAX_ENTRY_BYTES + FRAME_BYTES);
    }

    /** Appends an entry with its frame to a buffer with an array. */
    static void write(Entry entry, ByteBuffer out) {
        int start = out.position();
        out.position(start + CONTENT_OFFSET);
        EntryEncoder.write(entry, out);
        out.putShort(start, (short) (out.position() - start - CONTENT_OFFSET))
                .put(start + TYPE_OFFSET, (byte) EntryEncoder.typeOf(entry).code());
        CRC32C crc = new CRC32C();
        crc.update(out.array(), start, out.position() - start);
        out.putInt((int) crc.getValue());
    }

    /** Returns the length of the frame at the position; -1 if it is truncated or damaged. */
    static int completeFrameLength(ByteBuffer in) {
        int start = in.position();
        if (in.remaining() < FRAME_BYTES) {
            return INCOMPLETE;
        }
        int length = Short.toUnsignedInt(in.getShort(start)) + FRAME_BYTES;
        if (in.remaining() < length) {
            return INCOMPLETE;
        }
        CRC32C crc = new CRC32C();
        crc.update(in.duplicate().limit(start + length - Integer.BYTES));
        boolean valid = (int) crc.getValue() == in.getInt(start + length - Integer.BYTES);
        return valid ? length : INCOMPLETE;
    }

    /**
     * Reads the complete frame at the position and advances past it.
     *
     * @param length the frame's length, as {@link #completeFrameLength} returned it
     * @return the entry; null if this build does not know its type or form
     */
    static Entry read(ByteBuffer in, int length) {
        int start = in.position();
        EntryType type = EntryType.ofCode(Byte.toUnsignedInt(in.get(start + TYPE_OFFSET)));
        ByteBuffer content = in.slice(start + CONTENT_OFFSET, length - FRAME_BYTES);
        in.position(start + length);
        if (type == null) {
            return null;
        }
        try {
            return EntryDecoder.read(type, content);
        } catch (EntryFormatException e) {
            // The checksum is valid, so another build wrote the entry with a different form for
            // this
            // type number. It is treated as unknown, like a type that this build does not have.
            return null;
        }
    }
}
