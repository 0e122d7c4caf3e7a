package frostrelay.audit;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The latest entries of an incarnation in bounded memory, for balancers without a disk. When the
 * oldest entries are dropped, a {@link Preamble} keeps those that later entries refer to, and the
 * record contains a gap for the dropped ones. Not thread-safe.
 */
public final class EntryRingBuffer implements Recorder {
    private static final String GAP_REASON = "no room";

    private final int maxBytes;
    private final ByteBuffer scratch = Codec.newBuffer();
    private final Deque<byte[]> entries = new ArrayDeque<>();
    private int usedBytes;
    private final Preamble preamble = new Preamble();
    private long droppedEntries;
    private long droppedUntilNanos;

    /**
     * Creates a buffer.
     *
     * @param maxBytes limit on the size of all entries; a single larger entry is still kept
     */
    public EntryRingBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public void append(Entry entry) {
        byte[] frame = FramedEntries.encode(entry, scratch);
        entries.add(frame);
        usedBytes += frame.length;
        while (usedBytes > maxBytes && entries.size() > 1) {
            drop();
        }
    }

    private void drop() {
        byte[] oldest = entries.poll();
        usedBytes -= oldest.length;
        Entry entry = Codec.read(ByteBuffer.wrap(oldest), oldest.length);
        droppedEntries++;
        droppedUntilNanos = entry.atNanos();
        preamble.observe(entry);
    }

    /** Returns the current record in the format of {@link Codec}. */
    public byte[] record() {
        ByteArrayOutputStream out = new ByteArrayOutputStream(usedBytes + Codec.MAX_ENTRY_BYTES);
        out.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(Codec.MAGIC).array());
        if (droppedEntries > 0) {
            preamble.entries().forEach(entry -> out.writeBytes(FramedEntries.encode(entry)));
            out.writeBytes(
                    FramedEntries.encode(
                            new Entry.Gap(droppedUntilNanos, 0, droppedEntries, GAP_REASON)));
        }
        entries.forEach(out::writeBytes);
        return out.toByteArray();
    }
}
