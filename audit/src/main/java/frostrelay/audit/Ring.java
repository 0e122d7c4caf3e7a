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
public final class Ring implements Recorder {
    private final int most;
    private final ByteBuffer scratch = Codec.buffer();
    private final Deque<byte[]> entries = new ArrayDeque<>();
    private int bytes;
    private final Preamble preamble = new Preamble();
    private long gone;
    private long goneUntil;

    /** Holds so many bytes of entries at most. */
    public Ring(int most) {
        this.most = most;
    }

    @Override
    public void append(Entry entry) {
        byte[] one = Framed.of(entry, scratch);
        entries.add(one);
        bytes += one.length;
        while (bytes > most && entries.size() > 1) {
            drop();
        }
    }

    private void drop() {
        byte[] oldest = entries.poll();
        bytes -= oldest.length;
        Entry entry = Codec.read(ByteBuffer.wrap(oldest), oldest.length);
        gone++;
        goneUntil = entry.at();
        preamble.note(entry);
    }

    /** The record as it stands, in the form of {@link Codec}. */
    public byte[] record() {
        ByteArrayOutputStream out = new ByteArrayOutputStream(bytes + Codec.MOST);
        out.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(Codec.MAGIC).array());
        if (gone > 0) {
            preamble.entries().forEach(entry -> out.writeBytes(Framed.of(entry)));
            out.writeBytes(Framed.of(new Entry.Gap(goneUntil, 0, gone, "no room")));
        }
        entries.forEach(out::writeBytes);
        return out.toByteArray();
    }
}
