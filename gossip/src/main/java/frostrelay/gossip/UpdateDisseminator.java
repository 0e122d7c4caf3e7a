package frostrelay.gossip;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * Disseminates updates in rounds: each round sends the most urgent updates to a few random peers,
 * in small clusters to all peers. Updates may use only a part of the bandwidth limit, so that
 * probes are still answered while many updates are disseminated.
 */
final class UpdateDisseminator {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Targets of the first round after a new update. */
    private static final int FIRST_ROUND_FANOUT = 3;

    /** Targets of each later round. */
    private static final int NEXT_ROUND_FANOUT = 2;

    /**
     * Largest number of peers to which every round is sent; in such small clusters, random targets
     * often leave out a peer.
     */
    private static final int SMALL_CLUSTER_PEERS = 8;

    private static final int SMALL_CLUSTER_SENDS_PER_PEER = 2;

    /**
     * Five times the longest one-way delay, so that duplicates caused by the first round arrive
     * before the second round is sent.
     */
    private static final long ROUND_INTERVAL_NANOS = 150 * NANOS_PER_MILLI;

    /** Half a typical one-way delay; updates enqueued within it share a datagram. */
    private static final long BATCH_DELAY_NANOS = 10 * NANOS_PER_MILLI;

    /**
     * Sends of each update, as a multiple of the binary logarithm of the cluster's size: reaches 99
     * of 100 members at 30% loss.
     */
    private static final double SENDS_FACTOR = 1.5;

    /**
     * Fraction of the bandwidth limit available to updates; the rest holds two probes and two acks
     * per second.
     */
    private static final double UPDATE_BANDWIDTH_FRACTION = 5 / 8.0;

    /**
     * Header, checksum, one member entry and one applied-versions section; with fewer bytes
     * available, sending is deferred.
     */
    private static final int MIN_UPDATE_BYTES = 106;

    private final GossipSettings settings;
    private final MembershipTable members;
    private final int localRank;
    private final PeerSelector peers;
    private final DatagramWriter writer;
    private final UpdateDatagram datagram;
    private final GossipNode.Counters counters;
    private final BandwidthLimiter updateLimiter;
    private final UpdateQueue updates = new UpdateQueue();
    private long nextRoundAtNanos = GossipNode.NEVER_NANOS;
    private boolean isFirstRound;

    UpdateDisseminator(
            GossipSettings settings,
            MembershipTable members,
            int localRank,
            PeerSelector peers,
            DatagramWriter writer,
            UpdateDatagram datagram,
            GossipNode.Counters counters) {
        this.settings = settings;
        this.members = members;
        this.localRank = localRank;
        this.peers = peers;
        this.writer = writer;
        this.datagram = datagram;
        this.counters = counters;
        updateLimiter =
                new BandwidthLimiter(
                        Math.max(
                                GossipDatagram.MAX_BYTES,
                                (int) (settings.maxBytesPerSecond() * UPDATE_BANDWIDTH_FRACTION)));
    }

    void enqueueVersions(long now, int fingerprint) {
        enqueue(now, new Update.VersionsUpdate(fingerprint, sends(false)));
    }

    void enqueueMember(long now, int rank, long incarnation, boolean isNewMember) {
        enqueue(now, new Update.MemberUpdate(rank, incarnation, isNewMember, sends(isNewMember)));
    }

    void enqueueClaim(long now, SectionType type, int rank, long incarnation, int reportedBy) {
        enqueue(now, new Update.ClaimUpdate(type, rank, incarnation, reportedBy, sends(false)));
    }

    void enqueueCacheState(long now, long cache) {
        enqueue(now, new Update.CacheUpdate(cache, sends(false)));
    }

    void enqueuePayload(long now) {
        enqueue(now, new Update.PayloadUpdate(sends(false)));
    }

    /**
     * Records that a peer sent an update that is already known; see {@link
     * UpdateQueue#recordDuplicate}.
     */
    void recordDuplicate(long key) {
        updates.recordDuplicate(key);
    }

    private int sends(boolean isNewMember) {
        double factor = isNewMember ? SENDS_FACTOR / 2 : SENDS_FACTOR;
        int sends = (int) Math.ceil(factor * (Math.log(members.count + 1.0) / Math.log(2)));
        return isSmallCluster() && !isNewMember
                ? Math.max(sends, SMALL_CLUSTER_SENDS_PER_PEER * peers.count())
                : sends;
    }

    private void enqueue(long now, Update update) {
        updates.add(update);
        isFirstRound = true;
        nextRoundAtNanos = Math.min(nextRoundAtNanos, now + BATCH_DELAY_NANOS);
    }

    private boolean isSmallCluster() {
        return peers.count() <= SMALL_CLUSTER_PEERS;
    }

    /** Returns the time at which {@link #onTimer} is to be called next. */
    long nextTimerAtNanos() {
        return nextRoundAtNanos;
    }

    /** Sends a round if it is due. */
    void onTimer(long now) {
        if (now >= nextRoundAtNanos) {
            sendRound(now);
        }
    }

    private void sendRound(long now) {
        List<Integer> targets = peers.pick(fanout(), GossipDatagram.NO_RANK);
        isFirstRound = false;
        for (int to : targets) {
            if (!updates.isEmpty()) {
                sendTo(now, to);
            }
        }
        if (updates.isEmpty()) {
            nextRoundAtNanos = GossipNode.NEVER_NANOS;
        } else if (targets.isEmpty()) {
            // No peer is known to be reachable; retry after the next probe period.
            nextRoundAtNanos = now + settings.probePeriodNanos();
        } else {
            nextRoundAtNanos = now + ROUND_INTERVAL_NANOS;
        }
    }

    private int fanout() {
        if (isSmallCluster()) {
            return peers.count();
        }
        return isFirstRound ? FIRST_ROUND_FANOUT : NEXT_ROUND_FANOUT;
    }

    /** Sends the most urgent updates to one peer, if the bandwidth limit allows it. */
    void sendTo(long now, int destination) {
        List<Update> candidates = updates.mostUrgent();
        int maxBytes = maxBytes(now, candidates);
        if (maxBytes < MIN_UPDATE_BYTES) {
            counters.rateLimited++;
            return;
        }
        datagram.begin(now, maxBytes);
        for (Update update : candidates) {
            datagram.add(update);
        }
        if (datagram.send(now, destination)) {
            updateLimiter.tryConsume(now, writer.length());
            for (Update update : datagram.sent()) {
                update.remainingSends--;
            }
            updates.removeExhausted();
        }
    }

    /**
     * Returns the largest datagram that may be sent now. Introductions of members leave half of the
     * bandwidth to changes, which must not be delayed by them.
     */
    private int maxBytes(long now, List<Update> candidates) {
        int reservedBytes =
                !candidates.isEmpty() && candidates.get(0).isNewMember()
                        ? updateLimiter.maxBytesPerSecond() / 2
                        : 0;
        return Math.min(
                GossipDatagram.MAX_BYTES,
                Math.min(
                        writer.sendableBytes(now),
                        updateLimiter.availableBytes(now) - reservedBytes));
    }

    /**
     * Sends one section of another module to one peer immediately.
     *
     * @return false if the bandwidth limit does not allow it now
     */
    boolean sendSection(long now, int destination, int type, ByteBuffer content) {
        if (Math.min(writer.sendableBytes(now), updateLimiter.availableBytes(now))
                < GossipDatagram.HEADER_BYTES
                        + GossipDatagram.CHECKSUM_BYTES
                        + GossipDatagram.UPTIME_SECTION_BYTES
                        + GossipDatagram.SECTION_HEADER_BYTES
                        + content.remaining()) {
            return false;
        }
        writer.begin(now, GossipDatagram.Kind.UPDATE, writer.nextNonce(), GossipDatagram.NO_RANK);
        if (!writer.putPayloadSection(type, content) || !writer.send(now, destination)) {
            return false;
        }
        updateLimiter.tryConsume(now, writer.length());
        return true;
    }

    /** Notifies some peers that the local member is shutting down. */
    void sendLeave(long now) {
        List<Integer> targets =
                peers.pick(FIRST_ROUND_FANOUT + NEXT_ROUND_FANOUT, GossipDatagram.NO_RANK);
        for (int to : targets) {
            writer.begin(
                    now, GossipDatagram.Kind.UPDATE, writer.nextNonce(), GossipDatagram.NO_RANK);
            writer.putClaim(
                    SectionType.LEFT, localRank, members.incarnations[localRank], localRank);
            writer.send(now, to);
        }
    }
}
