package frostrelay.gossip;

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
final class GossipDatagram {
    /** A longer one voids the run on the platform. */
    static final int MAX_BYTES = 256;

    static final int HEADER_BYTES = 20;
    static final int CHECKSUM_BYTES = Integer.BYTES;
    static final int SECTION_HEADER_BYTES = 2;
    static final int WIRE_VERSION = 1;
    private static final short MAGIC = (short) 0xF05E;
    private static final int U16_MASK = 0xffff;

    /** What it is for. */
    enum Kind {
        UNKNOWN,
        PING,
        ACK,
        PING_REQUEST,
        UPDATE
    }

    /** What a section holds. */
    static final int MEMBER_ENTRIES = 1;

    static final int APPLIED_VERSIONS = 2;
    static final int SUSPECT = 3;
    static final int DEAD = 4;
    static final int LEFT = 5;
    static final int VERSIONS_REQUEST = 6;
    static final int UPTIME = 7;

    /** With its head. */
    static final int UPTIME_SECTION_BYTES = 6;

    static final int CACHE_UNAVAILABLE = 8;
    static final int CACHE_RESTORED = 9;

    /** No section of its own: news that other modules' sections have changed. */
    static final int PAYLOAD = 10;

    static final int MEMBER_ENTRY_BYTES = 11;
    static final int CLAIM_BYTES = 10;

    /** A list's version and a cache. */
    static final int CACHE_STATE_BYTES = 2 * Long.BYTES;

    /** Why a datagram is passed over. */
    enum RejectionReason {
        CORRUPT,
        FOREIGN,
        OVERSIZED,
        UNSUPPORTED_VERSION
    }

    final Kind kind;
    final int sender;
    final long incarnation;
    final int nonce;
    final int subject;

    /** Set to the first section; its limit is the end of the last. */
    final ByteBuffer sections;

    private GossipDatagram(
            Kind kind, int sender, long incarnation, int nonce, int subject, ByteBuffer sections) {
        this.kind = kind;
        this.sender = sender;
        this.incarnation = incarnation;
        this.nonce = nonce;
        this.subject = subject;
        this.sections = sections;
    }

    /** Why it cannot be read; null if it can. */
    static RejectionReason validate(byte[] data, int length) {
        if (length > MAX_BYTES) {
            return RejectionReason.OVERSIZED;
        }
        ByteBuffer in = ByteBuffer.wrap(data, 0, length);
        if (length < 2 || in.getShort(0) != MAGIC) {
            return RejectionReason.FOREIGN;
        }
        if (length < HEADER_BYTES + CHECKSUM_BYTES) {
            return RejectionReason.CORRUPT;
        }
        CRC32C crc = new CRC32C();
        crc.update(data, 0, length - CHECKSUM_BYTES);
        if ((int) crc.getValue() != in.getInt(length - CHECKSUM_BYTES)) {
            return RejectionReason.CORRUPT;
        }
        return (in.get(3) & 0xff) > WIRE_VERSION ? RejectionReason.UNSUPPORTED_VERSION : null;
    }

    /**
     * Reads what has no {@link #validate}. A kind that this build does not know reads as {@link
     * Kind#UNKNOWN}.
     */
    static GossipDatagram read(byte[] data, int length) {
        ByteBuffer in = ByteBuffer.wrap(data, 0, length - CHECKSUM_BYTES);
        int kind = in.get(4) & 0xff;
        in.position(HEADER_BYTES);
        return new GossipDatagram(
                kind < Kind.values().length ? Kind.values()[kind] : Kind.UNKNOWN,
                in.getShort(6) & U16_MASK,
                readU48(in, 8),
                in.getInt(14),
                in.getShort(18) & U16_MASK,
                in);
    }

    static long readU48(ByteBuffer in, int offset) {
        return (in.getShort(offset) & (long) U16_MASK) << Integer.SIZE
                | in.getInt(offset + Short.BYTES) & 0xffffffffL;
    }

    static long readU48(ByteBuffer in) {
        return (in.getShort() & (long) U16_MASK) << Integer.SIZE | in.getInt() & 0xffffffffL;
    }

    static void putU48(ByteBuffer out, long value) {
        out.putShort((short) (value >>> Integer.SIZE)).putInt((int) value);
    }

    /**
     * Begins one, in a writer's form that readers of {@link #WIRE_VERSION} understand: what follows
     * are sections, then {@link #finish}.
     */
    static void begin(
            ByteBuffer out,
            int wireVersion,
            Kind kind,
            int sender,
            long incarnation,
            int nonce,
            int subject) {
        out.clear();
        out.putShort(MAGIC)
                .put((byte) wireVersion)
                .put((byte) WIRE_VERSION)
                .put((byte) kind.ordinal())
                .put((byte) 0)
                .putShort((short) sender);
        putU48(out, incarnation);
        out.putInt(nonce).putShort((short) subject);
    }

    /** Room for the content of one more section, in bytes. */
    static int availableBytes(ByteBuffer out, int maxBytes) {
        return maxBytes - CHECKSUM_BYTES - SECTION_HEADER_BYTES - out.position();
    }

    /** Adds the checksum; returns the length. */
    static int finish(ByteBuffer out) {
        CRC32C crc = new CRC32C();
        crc.update(out.array(), 0, out.position());
        out.putInt((int) crc.getValue());
        return out.position();
    }
}
