package frostrelay.staleness;

import frostrelay.gossip.PayloadBuffer;
import frostrelay.gossip.PayloadProvider;

import java.nio.ByteBuffer;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The codec of reports about versions, which balancers exchange as big-endian sections of gossip
 * datagrams. By section type:
 *
 * <ul>
 *   <li>16: an administrative drain at the sender: u64 digest of all its drains, u64 cache
 *   <li>17: a version under which the sender fails or no longer fails: u8 kind, u64 number, u8 1 if
 *       failing, else 0
 *   <li>18: a request for a piece of a configuration: u64 digest, u16 piece
 *   <li>19: a piece of a configuration: u64 digest, u16 piece, u16 number of pieces, content
 * </ul>
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

    /** The number of drains is usually small; all of them are sent in rotation. */
    private static final int MAX_DRAINS_PER_DATAGRAM = 3;

    private static final int U16_MASK = 0xffff;

    /** Receives decoded sections, whose values are not validated. */
    public interface Listener {
        /** Handles a cache drained at a peer; {@code digest} is that of all the peer's drains. */
        void onPeerAdminDrain(long now, int from, long digest, long cache);

        /** Handles a report on whether a peer serves worse since it applied a version. */
        void onVersionFailing(long now, int from, VersionKind kind, long number, boolean isFailing);

        /** Handles a request for a piece of the configuration with this digest. */
        void onPieceRequested(long now, int from, long digest, int piece);

        /**
         * Handles a piece of the configuration with this digest, which has {@code count} pieces.
         */
        void onPiece(long now, int from, long digest, int piece, int count, byte[] content);
    }

    /** Knowledge of the administrative drains that peers have received. */
    public interface DrainKnowledge {
        /** Returns whether a peer is known to have the same drains. */
        boolean isUpToDate(int rank, long drainsDigest);
    }

    private final DrainKnowledge drainKnowledge;
    private List<Long> drainedCaches = List.of();
    private long drainsDigest;
    private int nextDrain;
    private final Map<VersionKind, ByteBuffer> failingVersions = new EnumMap<>(VersionKind.class);

    /** Creates a codec with no reports. */
    public StalenessCodec(DrainKnowledge drainKnowledge) {
        this.drainKnowledge = drainKnowledge;
    }

    /** Sets the administrative drains of this balancer to report, and the digest of all of them. */
    public void setAdminDrains(long digest, Set<Long> caches) {
        drainsDigest = digest;
        drainedCaches = caches.stream().sorted().toList();
    }

    /** Sets the report on whether this balancer fails under a version. */
    public void setVersionFailing(VersionKind kind, long number, boolean isFailing) {
        failingVersions.put(
                kind,
                ByteBuffer.allocate(VERSION_FAILING_BYTES)
                        .put((byte) kind.ordinal())
                        .putLong(number)
                        .put((byte) (isFailing ? 1 : 0))
                        .flip());
    }

    /** Removes the report about the version of a kind. */
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

    /** Returns the content of a section that requests a piece. */
    public static ByteBuffer encodePieceRequest(long digest, int piece) {
        return ByteBuffer.allocate(PIECE_REQUEST_BYTES)
                .putLong(digest)
                .putShort((short) piece)
                .flip();
    }

    /** Returns the type of a section that requests a piece. */
    public static int pieceRequestType() {
        return PIECE_REQUEST;
    }

    /**
     * Returns the content of a section with a piece of a packed configuration; null if the piece
     * does not exist.
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

    /** Returns the type of a section with a piece. */
    public static int pieceType() {
        return PIECE;
    }

    /** Decodes a section; ignores sections of other modules and those that are too short. */
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
