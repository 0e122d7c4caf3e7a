package frostrelay.audit;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/** Reads the content of entries, without their frame. Bytes after the known fields are ignored. */
final class EntryDecoder {
    private EntryDecoder() {}

    /** Reads the content of an entry of this type. */
    static Entry read(EntryType type, ByteBuffer in) throws EntryFormatException {
        try {
            return readFields(type, in);
        } catch (BufferUnderflowException e) {
            throw new EntryFormatException(
                    "entry of type " + type + " truncated: content of " + in.limit() + " bytes", e);
        }
    }

    private static Entry readFields(EntryType type, ByteBuffer in) throws EntryFormatException {
        long atNanos = in.getLong();
        return switch (type) {
            case STARTED -> readStarted(atNanos, in);
            case VERSIONS_APPLIED -> readVersionsApplied(atNanos, in);
            case CACHE_NAMED ->
                    new Entry.CacheNamed(atNanos, readUnsignedShort(in), EntryText.read(in));
            case ENDPOINT_LISTED ->
                    new Entry.EndpointListed(
                            atNanos, readUnsignedShort(in), in.get() != 0, in.getLong());
            case SEND_COUNTS -> readSendCounts(atNanos, in);
            case ATTEMPT_SENT -> readAttemptSent(atNanos, in);
            case PEER_VERSIONS_HEARD -> readPeerVersionsHeard(atNanos, in);
            case PEER_STATE_CHANGED -> readPeerStateChanged(atNanos, in);
            case PEER_CLOCK_SAMPLED -> readPeerClockSampled(atNanos, in);
            case WALL_CLOCK_JUMPED -> new Entry.WallClockJumped(atNanos, in.getLong());
            case INCARNATION_CHANGED -> new Entry.IncarnationChanged(atNanos, in.getLong());
            case UPDATE_REJECTED -> new Entry.UpdateRejected(atNanos, EntryText.read(in));
            case GAP -> new Entry.Gap(atNanos, in.getLong(), in.getLong(), EntryText.read(in));
            case STOPPED -> new Entry.Stopped(atNanos);
            case RESUMED -> new Entry.Resumed(atNanos);
        };
    }

    private static int readUnsignedShort(ByteBuffer in) {
        return Short.toUnsignedInt(in.getShort());
    }

    private static <E extends Enum<E>> E readConstant(E[] constants, ByteBuffer in)
            throws EntryFormatException {
        int ordinal = in.get();
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new EntryFormatException(
                    "unknown ordinal of "
                            + constants[0].getDeclaringClass().getSimpleName()
                            + ": "
                            + ordinal);
        }
        return constants[ordinal];
    }

    private static Entry.Started readStarted(long atNanos, ByteBuffer in) {
        String name = EntryText.read(in);
        // Signed: -1 for a balancer without peers.
        int rank = in.getShort();
        return new Entry.Started(atNanos, name, rank, in.getLong(), in.getInt(), in.getLong());
    }

    private static Entry.VersionsApplied readVersionsApplied(long atNanos, ByteBuffer in)
            throws EntryFormatException {
        int sequence = in.getInt();
        Cause cause = readConstant(Cause.values(), in);
        return new Entry.VersionsApplied(
                atNanos, sequence, cause, in.getLong(), AppliedVersions.read(in));
    }

    private static Entry.SendCounts readSendCounts(long atNanos, ByteBuffer in) {
        int sequence = in.getInt();
        int hedgedRequests = in.getInt();
        int rejectedRequests = in.getInt();
        int failedRequests = in.getInt();
        int[] caches = new int[readUnsignedShort(in)];
        int[] sends = new int[caches.length];
        for (int i = 0; i < caches.length; i++) {
            caches[i] = readUnsignedShort(in);
            sends[i] = in.getInt();
        }
        return new Entry.SendCounts(
                atNanos, sequence, hedgedRequests, rejectedRequests, failedRequests, caches, sends);
    }

    private static Entry.AttemptSent readAttemptSent(long atNanos, ByteBuffer in) {
        int sequence = in.getInt();
        int cache = readUnsignedShort(in);
        int attempt = Byte.toUnsignedInt(in.get());
        return new Entry.AttemptSent(atNanos, sequence, cache, attempt, EntryText.read(in));
    }

    private static Entry.PeerVersionsHeard readPeerVersionsHeard(long atNanos, ByteBuffer in) {
        int rank = readUnsignedShort(in);
        return new Entry.PeerVersionsHeard(
                atNanos, rank, in.getLong(), in.getInt(), in.getInt(), in.getLong());
    }

    private static Entry.PeerStateChanged readPeerStateChanged(long atNanos, ByteBuffer in)
            throws EntryFormatException {
        int rank = readUnsignedShort(in);
        long incarnation = in.getLong();
        MemberState state = readConstant(MemberState.values(), in);
        return new Entry.PeerStateChanged(atNanos, rank, incarnation, state, readUnsignedShort(in));
    }

    private static Entry.PeerClockSampled readPeerClockSampled(long atNanos, ByteBuffer in) {
        int rank = readUnsignedShort(in);
        return new Entry.PeerClockSampled(atNanos, rank, in.getLong(), in.getLong(), in.getLong());
    }
}
