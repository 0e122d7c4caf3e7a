package frostrelay.audit;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The readable part of a record.
 *
 * @param unreadBytes truncated or damaged bytes after the last complete entry
 * @param unknownEntries complete entries of types or forms that this build does not know
 */
public record AuditRecord(List<Entry> entries, int unreadBytes, int unknownEntries) {
    /**
     * Reads all complete entries.
     *
     * @throws IllegalArgumentException if the bytes do not begin with {@link Codec#MAGIC}
     */
    public static AuditRecord read(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes.length < Long.BYTES || in.getLong() != Codec.MAGIC) {
            throw new IllegalArgumentException(
                    "not an audit record: it does not begin with the magic number");
        }
        List<Entry> entries = new ArrayList<>();
        int unknownEntries = 0;
        for (int length = Codec.completeFrameLength(in);
                length > 0;
                length = Codec.completeFrameLength(in)) {
            Entry entry = Codec.read(in, length);
            if (entry == null) {
                unknownEntries++;
            } else {
                entries.add(entry);
            }
        }
        return new AuditRecord(entries, in.remaining(), unknownEntries);
    }
}
