package frostrelay.peers;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The wire form, big-endian, 256 bytes at most:
 *
 * <pre>
 * 0  u16 magic      2  u8 form of the writer      3  u8 least form that can read it
 * 4  u8 kind        5  u8 0                       6  u16 sender      8  u48 its incarnation
 * 14 u32 nonce      18 u16 subject                20 sections: u8 type, u8 length, bytes; last: u32 CRC-32C
 * </pre>
 *
 * Sections of unknown types are passed over, and so are bytes behind what a known type holds:
 * builds of other ages read each other as long as the least form allows it. What is read costs time
 * that its 256 bytes bound.
 */
final class Datagram {
    /** A longer one voids the run on the platform. */
    static final int MOST = 256;

    static final int HEAD = 20;
    static final int SUM = Integer.BYTES;
    static final int SECTION = 2;
    static final int FORM = 1;
    private static final short MAGIC = (short) 0xF05E;
    private static final int U16 = 0xffff;

    /** What it is for. */
    enum Kind {
        NONE,
        PING,
        PONG,
        ASK_OTHER,
        TELL
    }

    /** What a section holds. */
    static final int ROWS = 1;

    static final int STAMP = 2;
    static final int SUSPECT = 3;
    static final int GONE = 4;
    static final int LEFT = 5;
    static final int WANT = 6;
    static final int CLOCK = 7;

    /** With its head. */
    static final int CLOCK_BYTES = 6;

    static final int AWAY = 8;
    static final int BACK = 9;

    /** No section of its own: news that other modules' sections have changed. */
    static final int CARGO = 10;

    static final int ROW = 11;
    static final int CLAIM = 10;

    /** A list's version and a cache. */
    static final int AWAY_BYTES = 2 * Long.BYTES;

    /** Why a datagram is passed over. */
    enum Flaw {
        DAMAGED,
        FOREIGN,
        OVERSIZED,
        NEWER
    }

    final Kind kind;
    final int sender;
    final long incarnation;
    final int nonce;
    final int subject;

    /** Set to the first section; its limit is the end of the last. */
    final ByteBuffer sections;

    private Datagram(
            Kind kind, int sender, long incarnation, int nonce, int subject, ByteBuffer sections) {
        this.kind = kind;
        this.sender = sender;
        this.incarnation = incarnation;
        this.nonce = nonce;
        this.subject = subject;
        this.sections = sections;
    }

    /** Why it cannot be read; null if it can. */
    static Flaw flaw(byte[] data, int length) {
        if (length > MOST) {
            return Flaw.OVERSIZED;
        }
        ByteBuffer in = ByteBuffer.wrap(data, 0, length);
        if (length < 2 || in.getShort(0) != MAGIC) {
            return Flaw.FOREIGN;
        }
        if (length < HEAD + SUM) {
            return Flaw.DAMAGED;
        }
        CRC32C crc = new CRC32C();
        crc.update(data, 0, length - SUM);
        if ((int) crc.getValue() != in.getInt(length - SUM)) {
            return Flaw.DAMAGED;
        }
        return (in.get(3) & 0xff) > FORM ? Flaw.NEWER : null;
    }

    /**
     * Reads what has no {@link #flaw}. A kind that this build does not know reads as {@link
     * Kind#NONE}.
     */
    static Datagram read(byte[] data, int length) {
        ByteBuffer in = ByteBuffer.wrap(data, 0, length - SUM);
        int kind = in.get(4) & 0xff;
        in.position(HEAD);
        return new Datagram(
                kind < Kind.values().length ? Kind.values()[kind] : Kind.NONE,
                in.getShort(6) & U16,
                u48(in, 8),
                in.getInt(14),
                in.getShort(18) & U16,
                in);
    }

    static long u48(ByteBuffer in, int at) {
        return (in.getShort(at) & (long) U16) << Integer.SIZE
                | in.getInt(at + Short.BYTES) & 0xffffffffL;
    }

    static long u48(ByteBuffer in) {
        return (in.getShort() & (long) U16) << Integer.SIZE | in.getInt() & 0xffffffffL;
    }

    static void putU48(ByteBuffer out, long value) {
        out.putShort((short) (value >>> Integer.SIZE)).putInt((int) value);
    }

    /**
     * Begins one, in a writer's form that readers of {@link #FORM} understand: what follows are
     * sections, then {@link #finish}.
     */
    static void begin(
            ByteBuffer out,
            int form,
            Kind kind,
            int sender,
            long incarnation,
            int nonce,
            int subject) {
        out.clear();
        out.putShort(MAGIC)
                .put((byte) form)
                .put((byte) FORM)
                .put((byte) kind.ordinal())
                .put((byte) 0)
                .putShort((short) sender);
        putU48(out, incarnation);
        out.putInt(nonce).putShort((short) subject);
    }

    /** Room for the content of one more section, in bytes. */
    static int room(ByteBuffer out, int most) {
        return most - SUM - SECTION - out.position();
    }

    /** Adds the checksum; returns the length. */
    static int finish(ByteBuffer out) {
        CRC32C crc = new CRC32C();
        crc.update(out.array(), 0, out.position());
        out.putInt((int) crc.getValue());
        return out.position();
    }
}
