package frostrelay.audit;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The last entries of a life, in bounded memory: where no disk lasts this is the record. What a
 * reader needs for what is left outlasts the rest: the start, the caches' names, what the list last
 * said of each and the last stamp; what went is named as a gap. For one thread.
 */
public final class EntryRingBuffer implements Recorder {
    private final int maxBytes;
    private final ByteBuffer scratch = Codec.newBuffer();
    private final Deque<byte[]> entries = new ArrayDeque<>();
    private int usedBytes;
    private final Preamble preamble = new Preamble();
    private long droppedEntries;
    private long droppedUntilNanos;

    /** Holds so many bytes of entries at most. */
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

    /** The record as it stands, in the form of {@link Codec}. */
    public byte[] record() {
        ByteArrayOutputStream out = new ByteArrayOutputStream(usedBytes + Codec.MAX_ENTRY_BYTES);
        out.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(Codec.MAGIC).array());
        if (droppedEntries > 0) {
            preamble.entries().forEach(entry -> out.writeBytes(FramedEntries.encode(entry)));
            out.writeBytes(
                    FramedEntries.encode(
                            new Entry.Gap(droppedUntilNanos, 0, droppedEntries, "no room")));
        }
        entries.forEach(out::writeBytes);
        return out.toByteArray();
    }
}
