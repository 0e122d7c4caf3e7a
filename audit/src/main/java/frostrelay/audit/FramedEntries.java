package frostrelay.audit;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Encodes entries to, and decodes them from, the frames of a record. */
public final class FramedEntries {
    private FramedEntries() {}

    /** Returns the frame of an entry. */
    public static byte[] encode(Entry entry) {
        return encode(entry, Codec.newBuffer());
    }

    /** Returns the frame of an entry, encoded in a buffer that the caller reuses. */
    static byte[] encode(Entry entry, ByteBuffer out) {
        out.clear();
        Codec.write(entry, out);
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    /**
     * Returns the end offset of the frames that start at {@code from} and fit into {@code
     * capacityBytes}; includes at least one frame.
     */
    public static int endOfFittingEntries(byte[] bytes, int from, long capacityBytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int end = from;
        while (end < bytes.length) {
            in.position(end);
            int length = Codec.completeFrameLength(in);
            if (length < 0 || end > from && end + length - from > capacityBytes) {
                break;
            }
            end += length;
        }
        return end == from ? bytes.length : end;
    }

    /** Decodes the complete frames at the start of these bytes. */
    public static List<Entry> entries(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        List<Entry> entries = new ArrayList<>();
        for (int length = Codec.completeFrameLength(in);
                length > 0;
                length = Codec.completeFrameLength(in)) {
            Entry entry = Codec.read(in, length);
            if (entry != null) {
                entries.add(entry);
            }
        }
        return entries;
    }
}
