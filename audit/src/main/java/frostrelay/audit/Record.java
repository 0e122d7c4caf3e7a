package frostrelay.audit;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What could be read of one life's record. {@code unread}: bytes behind the last whole entry, torn
 * or damaged; {@code unknown}: whole entries of types that this build does not know.
 */
public record Record(List<Entry> entries, int unread, int unknown) {
    /** Reads as much as is whole. Throws IllegalArgumentException for what is no record at all. */
    public static Record read(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes.length < Long.BYTES || in.getLong() != Codec.MAGIC) {
            throw new IllegalArgumentException("no audit record");
        }
        List<Entry> entries = new ArrayList<>();
        int unknown = 0;
        for (int length = Codec.whole(in); length > 0; length = Codec.whole(in)) {
            Entry entry = Codec.read(in, length);
            if (entry == null) {
                unknown++;
            } else {
                entries.add(entry);
            }
        }
        return new Record(entries, in.remaining(), unknown);
    }
}
