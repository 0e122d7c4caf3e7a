package frostrelay.gossip;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * A writer of datagrams. Writes one datagram at a time into a reused buffer, section by section,
 * and sends it within the bandwidth limit. Methods check the available space only where documented.
 */
final class DatagramWriter {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Unit of an entry's age on the wire. */
    static final long AGE_UNIT_NANOS = 100 * NANOS_PER_MILLI;

    private static final int MAX_AGE_UNITS = 255;

    private final GossipSettings settings;
    private final int localRank;
    private final long startedAtNanos;
    private final MembershipTable members;
    private final GossipNode.Actions actions;
    private final GossipNode.Counters counters;
    private final BandwidthLimiter bandwidthLimiter;
    private final ByteBuffer out = ByteBuffer.allocate(GossipDatagram.MAX_BYTES);
    private final PayloadBuffer payload = new PayloadBuffer(out);
    private PayloadProvider payloadProvider = PayloadProvider.NONE;
    private int lastNonce;

    DatagramWriter(
            GossipSettings settings,
            int localRank,
            long startedAtNanos,
            MembershipTable members,
            GossipNode.Actions actions,
            GossipNode.Counters counters) {
        this.settings = settings;
        this.localRank = localRank;
        this.startedAtNanos = startedAtNanos;
        this.members = members;
        this.actions = actions;
        this.counters = counters;
        bandwidthLimiter = new BandwidthLimiter(settings.maxBytesPerSecond());
    }

    void setPayloadProvider(PayloadProvider provider) {
        payloadProvider = provider;
    }

    int nextNonce() {
        return ++lastNonce;
    }

    /** Returns the number of bytes that may be sent now. */
    int sendableBytes(long now) {
        return bandwidthLimiter.availableBytes(now);
    }

    /** Returns the maximum content of one more section in a datagram of {@code maxBytes}. */
    int availableBytes(int maxBytes) {
        return GossipDatagram.availableBytes(out, maxBytes);
    }

    /**
     * Begins a datagram. Its first section is the uptime at which it was written, from which the
     * receiver calculates how long it was queued in transit.
     */
    void begin(long now, GossipDatagram.Kind kind, int nonce, int subject) {
        GossipDatagram.begin(
                out,
                settings.wireVersion(),
                kind,
                localRank,
                members.incarnations[localRank],
                nonce,
                subject);
        putHeader(SectionType.UPTIME, Integer.BYTES)
                .putInt((int) ((now - startedAtNanos) / NANOS_PER_MILLI));
    }

    private ByteBuffer putHeader(SectionType type, int length) {
        return out.put((byte) type.code()).put((byte) length);
    }

    /** Adds applied versions; their fingerprint is calculated by the receiver. */
    void putAppliedVersions(AppliedVersions versions) {
        versions.write(putHeader(SectionType.APPLIED_VERSIONS, AppliedVersions.BYTES));
    }

    /** Adds a request for the applied versions with a fingerprint. */
    void putVersionsRequest(int fingerprint) {
        putHeader(SectionType.VERSIONS_REQUEST, Integer.BYTES).putInt(fingerprint);
    }

    /** Adds the state of a cache. */
    void putCacheState(long cache, CacheAvailability.CacheState state) {
        putHeader(
                        state.isAvailable()
                                ? SectionType.CACHE_RESTORED
                                : SectionType.CACHE_UNAVAILABLE,
                        GossipDatagram.CACHE_STATE_BYTES)
                .putLong(state.listRevision())
                .putLong(cache);
    }

    /** Adds a claim about a member if it fits. */
    void putClaim(SectionType type, int rank, long incarnation, int reportedBy) {
        if (availableBytes(GossipDatagram.MAX_BYTES) < GossipDatagram.CLAIM_BYTES) {
            return;
        }
        putHeader(type, GossipDatagram.CLAIM_BYTES).putShort((short) rank);
        GossipDatagram.putU48(out, incarnation);
        out.putShort((short) reportedBy);
    }

    /** Adds the entry of one member if it fits. */
    void putMemberEntry(long now, int rank, int maxBytes) {
        if (entryCapacity(maxBytes) >= 1) {
            putEntriesHeader(members.fingerprints[rank], 1);
            putEntry(now, rank);
        }
    }

    /**
     * Adds members' entries, one section for each run of ranks with equal fingerprints. Entries
     * that do not fit are omitted.
     */
    void putMemberEntries(long now, List<Integer> ranks, int maxBytes) {
        int start = 0;
        while (start < ranks.size()) {
            int fingerprint = members.fingerprints[ranks.get(start)];
            int capacity = entryCapacity(maxBytes);
            int end = start;
            while (end < ranks.size()
                    && end - start < capacity
                    && members.fingerprints[ranks.get(end)] == fingerprint) {
                end++;
            }
            if (end == start) {
                return;
            }
            putEntriesHeader(fingerprint, end - start);
            for (; start < end; start++) {
                putEntry(now, ranks.get(start));
            }
        }
    }

    private int entryCapacity(int maxBytes) {
        return (availableBytes(maxBytes) - Integer.BYTES) / GossipDatagram.MEMBER_ENTRY_BYTES;
    }

    private void putEntriesHeader(int fingerprint, int count) {
        putHeader(
                        SectionType.MEMBER_ENTRIES,
                        Integer.BYTES + GossipDatagram.MEMBER_ENTRY_BYTES * count)
                .putInt(fingerprint);
    }

    private void putEntry(long now, int rank) {
        out.putShort((short) rank);
        GossipDatagram.putU48(out, members.incarnations[rank]);
        out.putShort((short) members.sequences[rank]);
        long ageUnits =
                rank == localRank
                        ? 0
                        : (now - members.reportedAtNanos[rank] + AGE_UNIT_NANOS - 1)
                                / AGE_UNIT_NANOS;
        out.put((byte) Math.max(0, Math.min(MAX_AGE_UNITS, ageUnits)));
    }

    /** Lets the other modules add their sections, up to a total length of the datagram. */
    void putPayload(long now, int destination, int maxBytes) {
        payloadProvider.writeSections(now, destination, payload.withMaxBytes(maxBytes));
    }

    /** Adds one section of another module; returns false if it does not fit. */
    boolean putPayloadSection(int type, ByteBuffer content) {
        return payload.withMaxBytes(GossipDatagram.MAX_BYTES).add(type, content);
    }

    /** Completes and sends the datagram; returns false if the bandwidth limit is reached. */
    boolean send(long now, int destination) {
        int length = GossipDatagram.finish(out);
        if (!bandwidthLimiter.tryConsume(now, length)) {
            counters.rateLimited++;
            return false;
        }
        counters.sent++;
        counters.sentBytes += length;
        actions.send(destination, out.array(), length);
        return true;
    }

    /** Returns the bytes written so far; after {@link #send}, the datagram's length. */
    int length() {
        return out.position();
    }
}
