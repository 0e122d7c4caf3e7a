package frostrelay.audit;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Entries as the bytes that a record holds. */
public final class Framed {
    private Framed() {}

    /** One entry with its frame. */
    public static byte[] of(Entry entry) {
        return of(entry, Codec.buffer());
    }

    /** Likewise, with room to work in that is used again and again. */
    static byte[] of(Entry entry, ByteBuffer out) {
        out.clear();
        Codec.write(entry, out);
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    /**
     * Where the entries from a place on that fit into {@code room} end: behind one entry at least.
     */
    public static int fitting(byte[] bytes, int from, long room) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int end = from;
        while (end < bytes.length) {
            in.position(end);
            int length = Codec.whole(in);
            if (length < 0 || end > from && end + length - from > room) {
                break;
            }
            end += length;
        }
        return end == from ? bytes.length : end;
    }

    /** The whole entries that these bytes begin with. */
    public static List<Entry> entries(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        List<Entry> entries = new ArrayList<>();
        for (int length = Codec.whole(in); length > 0; length = Codec.whole(in)) {
            Entry entry = Codec.read(in, length);
            if (entry != null) {
                entries.add(entry);
            }
        }
        return entries;
    }
}
