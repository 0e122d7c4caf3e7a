package frostrelay.stragglers;

import frostrelay.peers.Cargo;
import frostrelay.peers.Hold;

import java.nio.ByteBuffer;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The wire form of what stragglers say to each other, as sections of the peers' datagrams,
 * big-endian: what this balancer's own operators hold (16: u64 digest of all holds, u64 cache),
 * versions that it fails under (17: u8 kind, u64 number, u8 1 or 0 for no longer), a piece of a
 * configuration that is wanted (18: u64 digest, u16 piece) and that is given (19: u64 digest, u16
 * piece, u16 pieces, content).
 */
public final class Words implements Cargo {
    private static final int HELD = 16;
    private static final int FAILS = 17;
    private static final int WANT = 18;
    private static final int PIECE = 19;
    private static final int HELD_BYTES = 2 * Long.BYTES;
    private static final int FAILS_BYTES = 1 + Long.BYTES + 1;
    private static final int WANT_BYTES = Long.BYTES + Short.BYTES;
    private static final int PIECE_HEAD = WANT_BYTES + Short.BYTES;

    /** In a datagram: holds are few, and each is told in turn. */
    private static final int MOST_HELD = 3;

    private static final int U16 = 0xffff;

    /** Hears what came, unchecked but for its form. */
    public interface Listener {
        void onHeld(long now, int from, long digest, long cache);

        void onFails(long now, int from, Kind kind, long number, boolean fails);

        void onWant(long now, int from, long digest, int piece);

        void onPiece(long now, int from, long digest, int piece, int count, byte[] content);
    }

    /** Whether a balancer is known to hold the same already. */
    public interface Knows {
        boolean same(int rank, long holdsDigest);
    }

    private final Knows knows;
    private List<Long> held = List.of();
    private long heldDigest;
    private int turn;
    private final Map<Kind, ByteBuffer> fails = new EnumMap<>(Kind.class);

    /** {@code knows}: who need not be told of holds. */
    public Words(Knows knows) {
        this.knows = knows;
    }

    /** From now on this balancer's own operators hold these, with this digest in its stamp. */
    public void holds(long digest, Set<Long> caches) {
        heldDigest = digest;
        held = caches.stream().sorted().toList();
    }

    /** From now on it says of itself whether it fails under this version. */
    public void fails(Kind kind, long number, boolean on) {
        fails.put(
                kind,
                ByteBuffer.allocate(FAILS_BYTES)
                        .put((byte) kind.ordinal())
                        .putLong(number)
                        .put((byte) (on ? 1 : 0))
                        .flip());
    }

    /** It says nothing of that kind any more: what it said before is old. */
    public void failsNoMore(Kind kind) {
        fails.remove(kind);
    }

    @Override
    public void load(long now, int to, Hold hold) {
        fails.values().forEach(one -> hold.add(FAILS, one.duplicate()));
        if (held.isEmpty() || knows.same(to, heldDigest)) {
            return;
        }
        for (int i = 0; i < Math.min(MOST_HELD, held.size()); i++) {
            hold.add(
                    HELD,
                    ByteBuffer.allocate(HELD_BYTES)
                            .putLong(heldDigest)
                            .putLong(held.get(turn++ % held.size()))
                            .flip());
        }
        turn %= held.size();
    }

    /** The type and content of the section by which a piece is asked for. */
    public static ByteBuffer want(long digest, int piece) {
        return ByteBuffer.allocate(WANT_BYTES).putLong(digest).putShort((short) piece).flip();
    }

    /** Its type. */
    public static int wantType() {
        return WANT;
    }

    /**
     * The content of the section that gives a piece of all that is packed; null where there is no
     * such piece.
     */
    public static ByteBuffer piece(long digest, int piece, byte[] packed) {
        int count = (packed.length + Handover.PIECE - 1) / Handover.PIECE;
        if (piece >= count || count > Handover.MOST_PIECES) {
            return null;
        }
        int length = Math.min(Handover.PIECE, packed.length - piece * Handover.PIECE);
        return ByteBuffer.allocate(PIECE_HEAD + length)
                .putLong(digest)
                .putShort((short) piece)
                .putShort((short) count)
                .put(packed, piece * Handover.PIECE, length)
                .flip();
    }

    /** Its type. */
    public static int pieceType() {
        return PIECE;
    }

    /** Reads a section; one of another module, or too short, is passed over. */
    public static void read(long now, int from, int type, ByteBuffer in, Listener listener) {
        int length = in.remaining();
        if (type == HELD && length >= HELD_BYTES) {
            listener.onHeld(now, from, in.getLong(), in.getLong());
        } else if (type == FAILS && length >= FAILS_BYTES) {
            int kind = in.get() & 0xff;
            if (kind < Kind.values().length) {
                listener.onFails(now, from, Kind.values()[kind], in.getLong(), in.get() != 0);
            }
        } else if (type == WANT && length >= WANT_BYTES) {
            listener.onWant(now, from, in.getLong(), in.getShort() & U16);
        } else if (type == PIECE && length > PIECE_HEAD) {
            long digest = in.getLong();
            int piece = in.getShort() & U16;
            int count = in.getShort() & U16;
            byte[] content = new byte[in.remaining()];
            in.get(content);
            listener.onPiece(now, from, digest, piece, count, content);
        }
    }
}
