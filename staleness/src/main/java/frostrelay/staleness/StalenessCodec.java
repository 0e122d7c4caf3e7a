package frostrelay.staleness;

import frostrelay.gossip.PayloadBuffer;
import frostrelay.gossip.PayloadProvider;

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
public final class StalenessCodec implements PayloadProvider {
    private static final int ADMIN_DRAIN = 16;
    private static final int VERSION_FAILING = 17;
    private static final int PIECE_REQUEST = 18;
    private static final int PIECE = 19;
    private static final int ADMIN_DRAIN_BYTES = 2 * Long.BYTES;
    private static final int VERSION_FAILING_BYTES = 1 + Long.BYTES + 1;
    private static final int PIECE_REQUEST_BYTES = Long.BYTES + Short.BYTES;
    private static final int PIECE_HEADER_BYTES = PIECE_REQUEST_BYTES + Short.BYTES;

    /** In a datagram: holds are few, and each is told in turn. */
    private static final int MAX_DRAINS_PER_DATAGRAM = 3;

    private static final int U16_MASK = 0xffff;

    /** Hears what came, unchecked but for its form. */
    public interface Listener {
        void onPeerAdminDrain(long now, int from, long digest, long cache);

        void onVersionFailing(long now, int from, VersionKind kind, long number, boolean isFailing);

        void onPieceRequested(long now, int from, long digest, int piece);

        void onPiece(long now, int from, long digest, int piece, int count, byte[] content);
    }

    /** Whether a balancer is known to hold the same already. */
    public interface DrainKnowledge {
        boolean isUpToDate(int rank, long drainsDigest);
    }

    private final DrainKnowledge drainKnowledge;
    private List<Long> drainedCaches = List.of();
    private long drainsDigest;
    private int nextDrain;
    private final Map<VersionKind, ByteBuffer> failingVersions = new EnumMap<>(VersionKind.class);

    /** {@code drainKnowledge}: who need not be told of holds. */
    public StalenessCodec(DrainKnowledge drainKnowledge) {
        this.drainKnowledge = drainKnowledge;
    }

    /** From now on this balancer's own operators hold these, with this digest in its stamp. */
    public void setAdminDrains(long digest, Set<Long> caches) {
        drainsDigest = digest;
        drainedCaches = caches.stream().sorted().toList();
    }

    /** From now on it says of itself whether it fails under this version. */
    public void setVersionFailing(VersionKind kind, long number, boolean isFailing) {
        failingVersions.put(
                kind,
                ByteBuffer.allocate(VERSION_FAILING_BYTES)
                        .put((byte) kind.ordinal())
                        .putLong(number)
                        .put((byte) (isFailing ? 1 : 0))
                        .flip());
    }

    /** It says nothing of that kind any more: what it said before is old. */
    public void clearVersionFailing(VersionKind kind) {
        failingVersions.remove(kind);
    }

    @Override
    public void writeSections(long now, int destination, PayloadBuffer payload) {
        failingVersions
                .values()
                .forEach(section -> payload.add(VERSION_FAILING, section.duplicate()));
        if (drainedCaches.isEmpty() || drainKnowledge.isUpToDate(destination, drainsDigest)) {
            return;
        }
        for (int i = 0; i < Math.min(MAX_DRAINS_PER_DATAGRAM, drainedCaches.size()); i++) {
            payload.add(
                    ADMIN_DRAIN,
                    ByteBuffer.allocate(ADMIN_DRAIN_BYTES)
                            .putLong(drainsDigest)
                            .putLong(drainedCaches.get(nextDrain++ % drainedCaches.size()))
                            .flip());
        }
        nextDrain %= drainedCaches.size();
    }

    /** The type and content of the section by which a piece is asked for. */
    public static ByteBuffer encodePieceRequest(long digest, int piece) {
        return ByteBuffer.allocate(PIECE_REQUEST_BYTES)
                .putLong(digest)
                .putShort((short) piece)
                .flip();
    }

    /** Its type. */
    public static int pieceRequestType() {
        return PIECE_REQUEST;
    }

    /**
     * The content of the section that gives a piece of all that is packed; null where there is no
     * such piece.
     */
    public static ByteBuffer encodePiece(long digest, int piece, byte[] packed) {
        int count = (packed.length + ConfigTransfer.PIECE_BYTES - 1) / ConfigTransfer.PIECE_BYTES;
        if (piece >= count || count > ConfigTransfer.MAX_PIECES) {
            return null;
        }
        int length =
                Math.min(
                        ConfigTransfer.PIECE_BYTES,
                        packed.length - piece * ConfigTransfer.PIECE_BYTES);
        return ByteBuffer.allocate(PIECE_HEADER_BYTES + length)
                .putLong(digest)
                .putShort((short) piece)
                .putShort((short) count)
                .put(packed, piece * ConfigTransfer.PIECE_BYTES, length)
                .flip();
    }

    /** Its type. */
    public static int pieceType() {
        return PIECE;
    }

    /** Reads a section; one of another module, or too short, is passed over. */
    public static void read(long now, int from, int type, ByteBuffer in, Listener listener) {
        int length = in.remaining();
        if (type == ADMIN_DRAIN && length >= ADMIN_DRAIN_BYTES) {
            listener.onPeerAdminDrain(now, from, in.getLong(), in.getLong());
        } else if (type == VERSION_FAILING && length >= VERSION_FAILING_BYTES) {
            int kind = in.get() & 0xff;
            if (kind < VersionKind.values().length) {
                listener.onVersionFailing(
                        now, from, VersionKind.values()[kind], in.getLong(), in.get() != 0);
            }
        } else if (type == PIECE_REQUEST && length >= PIECE_REQUEST_BYTES) {
            listener.onPieceRequested(now, from, in.getLong(), in.getShort() & U16_MASK);
        } else if (type == PIECE && length > PIECE_HEADER_BYTES) {
            long digest = in.getLong();
            int piece = in.getShort() & U16_MASK;
            int count = in.getShort() & U16_MASK;
            byte[] content = new byte[in.remaining()];
            in.get(content);
            listener.onPiece(now, from, digest, piece, count, content);
        }
    }
}
