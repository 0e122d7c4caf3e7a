package frostrelay.audit;

import frostrelay.peers.Stamp;
import frostrelay.peers.State;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The form of a record, big-endian. A record begins with {@link #MAGIC}; each entry is u16 length
 * of its content, u8 type, content, u32 CRC-32C of all before it in the entry. {@code
 * docs/audit.md} has the contents. Entries of unknown types are passed over, as are bytes behind
 * what a known one holds, so that records of other builds can be read.
 */
public final class Codec {
    /** {@code FRAUDIT} and the form's number. */
    public static final long MAGIC = 0x4652_4155_4449_5401L;

    /** Length, type and checksum of an entry. */
    static final int FRAME = Short.BYTES + 1 + Integer.BYTES;

    /** The longest content that is written. */
    static final int MOST = 8 * 1024;

    private static final int MOST_TEXT = 255;
    private static final int U16 = 0xffff;

    private Codec() {}

    /** Room for any entry. */
    static ByteBuffer buffer() {
        return ByteBuffer.allocate(MOST + FRAME);
    }

    /** Appends an entry with its frame. */
    static void write(Entry entry, ByteBuffer out) {
        int start = out.position();
        out.putShort((short) 0).put((byte) 0).putLong(entry.at());
        int type;
        if (entry instanceof Entry.Start e) {
            type = 1;
            text(out, e.name());
            out.putShort((short) e.rank())
                    .putLong(e.incarnation())
                    .putInt(e.build())
                    .putLong(e.wallMs());
        } else if (entry instanceof Entry.Acts e) {
            type = 2;
            out.putInt(e.sequence()).put((byte) e.cause().ordinal()).putLong(e.wallMs());
            e.stamp().write(out);
        } else if (entry instanceof Entry.Names e) {
            type = 3;
            out.putShort((short) e.cache());
            text(out, e.uid());
        } else if (entry instanceof Entry.Lists e) {
            type = 4;
            out.putShort((short) e.cache()).put((byte) (e.ready() ? 1 : 0)).putLong(e.bootMs());
        } else if (entry instanceof Entry.Counts e) {
            type = 5;
            out.putInt(e.sequence())
                    .putInt(e.copies())
                    .putInt(e.refused())
                    .putInt(e.failed())
                    .putShort((short) e.caches().length);
            for (int i = 0; i < e.caches().length; i++) {
                out.putShort((short) e.caches()[i]).putInt(e.sends()[i]);
            }
        } else if (entry instanceof Entry.Sent e) {
            type = 6;
            out.putInt(e.sequence()).putShort((short) e.cache()).put((byte) e.attempt());
            text(out, e.id());
        } else if (entry instanceof Entry.Heard e) {
            type = 7;
            out.putShort((short) e.rank())
                    .putLong(e.incarnation())
                    .putInt(e.sequence())
                    .putInt(e.ref())
                    .putLong(e.age());
        } else if (entry instanceof Entry.Believes e) {
            type = 8;
            out.putShort((short) e.rank())
                    .putLong(e.incarnation())
                    .put((byte) e.state().ordinal())
                    .putShort((short) e.by());
        } else if (entry instanceof Entry.Clock e) {
            type = 9;
            out.putShort((short) e.rank())
                    .putLong(e.incarnation())
                    .putLong(e.sent())
                    .putLong(e.theirMs());
        } else if (entry instanceof Entry.Jumped e) {
            type = 10;
            out.putLong(e.byMs());
        } else if (entry instanceof Entry.Renumbered e) {
            type = 11;
            out.putLong(e.incarnation());
        } else if (entry instanceof Entry.Refused e) {
            type = 12;
            text(out, e.what());
        } else if (entry instanceof Entry.Gap e) {
            type = 13;
            out.putLong(e.from()).putLong(e.entries());
            text(out, e.why());
        } else if (entry instanceof Entry.End) {
            type = 14;
        } else {
            type = 15;
        }
        out.putShort(start, (short) (out.position() - start - Short.BYTES - 1))
                .put(start + Short.BYTES, (byte) type);
        CRC32C crc = new CRC32C();
        crc.update(out.array(), start, out.position() - start);
        out.putInt((int) crc.getValue());
    }

    private static void text(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(MOST_TEXT, bytes.length);
        out.put((byte) length).put(bytes, 0, length);
    }

    private static String text(ByteBuffer in) {
        byte[] bytes = new byte[in.get() & 0xff];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** Length of the whole entry that begins here; -1 where it is torn or damaged. */
    static int whole(ByteBuffer in) {
        int at = in.position();
        if (in.remaining() < FRAME) {
            return -1;
        }
        int length = (in.getShort(at) & U16) + FRAME;
        if (in.remaining() < length) {
            return -1;
        }
        CRC32C crc = new CRC32C();
        crc.update(in.duplicate().limit(at + length - Integer.BYTES));
        return (int) crc.getValue() == in.getInt(at + length - Integer.BYTES) ? length : -1;
    }

    /**
     * Reads the whole entry that begins here and passes it; null for a type that this build does
     * not know.
     */
    static Entry read(ByteBuffer in, int length) {
        int type = in.get(in.position() + Short.BYTES) & 0xff;
        ByteBuffer content = in.slice(in.position() + Short.BYTES + 1, length - FRAME);
        in.position(in.position() + length);
        try {
            return content(type, content);
        } catch (BufferUnderflowException
                | ArrayIndexOutOfBoundsException
                | NegativeArraySizeException e) {
            // Whole by its checksum and yet too short: of a build that meant something else by its
            // number.
            return null;
        }
    }

    private static Entry content(int type, ByteBuffer in) {
        long at = in.getLong();
        return switch (type) {
            case 1 ->
                    new Entry.Start(
                            at, text(in), in.getShort(), in.getLong(), in.getInt(), in.getLong());
            case 2 ->
                    new Entry.Acts(
                            at,
                            in.getInt(),
                            Cause.values()[in.get()],
                            in.getLong(),
                            Stamp.read(in));
            case 3 -> new Entry.Names(at, in.getShort() & U16, text(in));
            case 4 -> new Entry.Lists(at, in.getShort() & U16, in.get() != 0, in.getLong());
            case 5 -> counts(at, in);
            case 6 ->
                    new Entry.Sent(at, in.getInt(), in.getShort() & U16, in.get() & 0xff, text(in));
            case 7 ->
                    new Entry.Heard(
                            at,
                            in.getShort() & U16,
                            in.getLong(),
                            in.getInt(),
                            in.getInt(),
                            in.getLong());
            case 8 ->
                    new Entry.Believes(
                            at,
                            in.getShort() & U16,
                            in.getLong(),
                            State.values()[in.get()],
                            in.getShort() & U16);
            case 9 ->
                    new Entry.Clock(
                            at, in.getShort() & U16, in.getLong(), in.getLong(), in.getLong());
            case 10 -> new Entry.Jumped(at, in.getLong());
            case 11 -> new Entry.Renumbered(at, in.getLong());
            case 12 -> new Entry.Refused(at, text(in));
            case 13 -> new Entry.Gap(at, in.getLong(), in.getLong(), text(in));
            case 14 -> new Entry.End(at);
            case 15 -> new Entry.Resumes(at);
            default -> null;
        };
    }

    private static Entry counts(long at, ByteBuffer in) {
        int sequence = in.getInt();
        int copies = in.getInt();
        int refused = in.getInt();
        int failed = in.getInt();
        int[] caches = new int[in.getShort() & U16];
        int[] sends = new int[caches.length];
        for (int i = 0; i < caches.length; i++) {
            caches[i] = in.getShort() & U16;
            sends[i] = in.getInt();
        }
        return new Entry.Counts(
                at, sequence, copies, refused, failed, caches, Arrays.copyOf(sends, sends.length));
    }
}
