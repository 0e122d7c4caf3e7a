package frostrelay.gossip;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The wire format, big-endian, at most 256 bytes:
 *
 * <pre>
 * 0  u16 magic      2  u8 version of the writer   3  u8 minimum version that can read it
 * 4  u8 kind        5  u8 0                       6  u16 sender      8  u48 its incarnation
 * 14 u32 nonce      18 u16 subject                20 sections: u8 type, u8 length, bytes
 * last 4: u32 CRC-32C of all preceding bytes
 * </pre>
 *
 * Sections of unknown types are ignored, and so are additional bytes at the end of known ones:
 * builds of different versions can read each other's datagrams if the minimum version allows it.
 * The time to read a datagram is bounded by its length.
 */
final class GossipDatagram {
    /** Maximum datagram length that the platform allows. */
    static final int MAX_BYTES = 256;

    static final int HEADER_BYTES = 20;
    static final int CHECKSUM_BYTES = Integer.BYTES;
    static final int SECTION_HEADER_BYTES = 2;
    static final int WIRE_VERSION = 1;
    private static final short MAGIC = (short) 0xF05E;
    private static final int U16_MASK = 0xffff;

    /** The purpose of a datagram; the ordinal is its code on the wire. */
    enum Kind {
        UNKNOWN,
        PING,
        ACK,
        PING_REQUEST,
        UPDATE
    }

    /** Value of a rank field that refers to no member. */
    static final int NO_RANK = 0xffff;

    /** Length of an uptime section with its header. */
    static final int UPTIME_SECTION_BYTES = SECTION_HEADER_BYTES + Integer.BYTES;

    static final int MEMBER_ENTRY_BYTES = 11;
    static final int CLAIM_BYTES = 10;

    /** Length of a revision of the endpoint list and a cache. */
    static final int CACHE_STATE_BYTES = 2 * Long.BYTES;

    /** The reason for which a datagram is rejected. */
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

    /** The bytes from the first section to the end of the last. */
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

    /** Returns the reason why a datagram cannot be read; null if it can. */
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
     * Reads the header of a datagram that {@link #validate} did not reject. A kind that this build
     * does not know is read as {@link Kind#UNKNOWN}.
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
     * Writes the header of a datagram that readers of {@link #WIRE_VERSION} can read. The caller
     * then writes the sections and calls {@link #finish}.
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

    /** Returns the maximum content length of one more section. */
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
