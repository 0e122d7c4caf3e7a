package frostrelay.gossip;

import java.nio.ByteBuffer;
import java.util.SplittableRandom;

/**
 * One member of a cluster of balancers: which members are alive, and which versions each applies.
 * Detects failures as SWIM does, with Lifeguard's local health multiplier, and disseminates updates
 * by gossip. Driven by events alone: it starts no thread, reads no clock and sends through {@link
 * Actions}. Not thread-safe; times are nanoseconds of one monotonic clock.
 *
 * <p>A member is believed about itself, by its incarnation and the sequence number of its applied
 * versions; claims about others are passed on, and the member concerned may refute them. {@code
 * docs/design/peers.md} compares the alternatives.
 */
public final class GossipNode {
    /** Sends datagrams. */
    public interface Actions {
        /**
         * Sends a datagram to a member.
         *
         * @param destination the member's rank
         * @param data reused by the caller as soon as this returns
         * @param length bytes of {@code data} to send
         */
        void send(int destination, byte[] data, int length);
    }

    /** Receives what changed in the knowledge about the members. */
    public interface Listener {
        /**
         * A member's state has changed.
         *
         * @param reportedBy the rank of the member that reported it; the member itself where its
         *     own datagram shows it
         */
        default void onMemberState(
                long now, int rank, long incarnation, MemberState state, int reportedBy) {}

        /**
         * The local member has a new incarnation: it refuted a claim, or took precedence over an
         * earlier process of its rank.
         */
        default void onLocalIncarnation(long now, long incarnation) {}

        /**
         * A member applies other versions.
         *
         * @param sequence how often its versions had changed in this incarnation
         * @param fingerprint of the versions, whose content may follow later
         * @param ageNanos time since the member said so
         */
        default void onMemberEntry(
                long now,
                int rank,
                long incarnation,
                int sequence,
                int fingerprint,
                long ageNanos) {}

        /** The content behind a fingerprint is known now. */
        default void onAppliedVersions(
                long now, int fingerprint, AppliedVersions appliedVersions) {}

        /** A peer's revision of the endpoint list rules a cache out. */
        default void onCacheUnavailable(long now, int from, long listRevision, long cache) {}

        /** A peer's revision of the endpoint list allows a cache that was ruled out lately. */
        default void onCacheRestored(long now, int from, long listRevision, long cache) {}

        /**
         * A section of another module was received.
         *
         * @param queueingDelayNanos for how long it was delayed on its way, compared with the
         *     fastest datagram lately
         * @param type from {@link PayloadProvider#FIRST_SECTION_TYPE} on
         * @param content unchecked
         */
        default void onPayload(
                long now,
                long queueingDelayNanos,
                int from,
                long incarnation,
                int type,
                ByteBuffer content) {}

        /**
         * A peer answered a probe: its uptime was {@code peerUptimeMillis} at some moment between
         * {@code sentAtNanos} and now.
         */
        default void onClockSample(
                long now, int rank, long incarnation, long sentAtNanos, long peerUptimeMillis) {}
    }

    /** Counts since the start. */
    public static final class Counters {
        public long sent;
        public long sentBytes;
        public long received;
        public long damaged;
        public long foreign;
        public long oversized;
        public long unsupportedVersion;
        public long wrongSender;
        public long implausible;
        public long rateLimited;
        public long suspicions;
        public long refutations;
        public long pauses;
    }

    /** The time of a timer that is not set. */
    static final long NEVER_NANOS = Long.MAX_VALUE;

    /** A timer as late as this shows a pause of this process, not that its peers are silent. */
    private static final long PAUSE_THRESHOLD_NANOS = 500_000_000L;

    private final int localRank;
    private final MembershipTable members;
    private final Counters counters = new Counters();
    private final DatagramWriter writer;
    private final AppliedVersionStore versions;
    private final CacheAvailability caches = new CacheAvailability();
    private final UpdateDisseminator updates;
    private final SuspicionTable suspicions;
    private final Membership membership;
    private final FailureDetector failureDetector;
    private final SectionReader sections;
    private boolean hasLeft;

    /**
     * Starts as a member that knows no other yet.
     *
     * @param localRank rank of this member, below {@code count}
     * @param count number of members
     * @param incarnation of this process, by {@link Incarnation#fromUnixMillis}
     * @param seed of the random choice of peers
     * @param appliedVersions what this member applies at first
     * @param sequence how often that had changed before in this incarnation
     * @throws IllegalArgumentException where the rank is not one of the cluster's, or there are too
     *     many members
     */
    public GossipNode(
            GossipSettings settings,
            int localRank,
            int count,
            long now,
            long incarnation,
            long seed,
            AppliedVersions appliedVersions,
            int sequence,
            Actions actions,
            Listener listener) {
        if (localRank < 0 || localRank >= count || count > GossipDatagram.NO_RANK) {
            throw new IllegalArgumentException("balancer " + localRank + " of " + count);
        }
        this.localRank = localRank;
        SplittableRandom random = new SplittableRandom(seed);
        members = new MembershipTable(count);
        PeerSelector peers = new PeerSelector(members, localRank, random);
        members.state(localRank, MemberState.ALIVE);
        members.incarnations[localRank] = incarnation;
        members.reportedAtNanos[localRank] = now;
        writer = new DatagramWriter(settings, localRank, now, members, actions, counters);
        versions = new AppliedVersionStore(members, listener);
        UpdateDatagram datagram = new UpdateDatagram(members, writer, versions, caches);
        updates =
                new UpdateDisseminator(
                        settings, members, localRank, peers, writer, datagram, counters);
        LocalHealth localHealth = new LocalHealth();
        suspicions = new SuspicionTable(settings, count, localHealth);
        membership =
                new Membership(
                        settings,
                        now,
                        localRank,
                        members,
                        suspicions,
                        localHealth,
                        updates,
                        listener,
                        counters);
        failureDetector =
                new FailureDetector(
                        settings,
                        members,
                        localRank,
                        membership,
                        peers,
                        new ProbeWriter(settings, members, localRank, versions, caches, writer),
                        localHealth,
                        // Spread, so that members that start together do not probe together.
                        now + random.nextLong(settings.probePeriodNanos()));
        sections =
                new SectionReader(
                        members,
                        membership,
                        failureDetector,
                        versions,
                        updates,
                        listener,
                        counters);
        updateAppliedVersions(now, appliedVersions, sequence);
    }

    /**
     * Applies other versions from now on.
     *
     * @param sequence how often they have changed in this incarnation
     */
    public void updateAppliedVersions(long now, AppliedVersions appliedVersions, int sequence) {
        int fingerprint = appliedVersions.fingerprint();
        members.fingerprints[localRank] = fingerprint;
        members.sequences[localRank] = sequence & 0xffff;
        versions.add(now, fingerprint, appliedVersions);
        membership.announceLocalState(now);
    }

    /** Sets who adds other modules' sections to datagrams. */
    public void setPayloadProvider(PayloadProvider provider) {
        writer.setPayloadProvider(provider);
    }

    /**
     * Spreads a change of other modules' sections like an update; their content is written anew for
     * each datagram.
     */
    public void announcePayloadChange(long now) {
        updates.enqueuePayload(now);
    }

    /**
     * Spreads what the local endpoint list says of a cache, for peers on an older revision: it is
     * ruled out, or available again. A cache that was not ruled out lately is no news.
     */
    public void announceCacheState(long now, long listRevision, long cache, boolean isAvailable) {
        if (caches.record(listRevision, cache, isAvailable)) {
            updates.enqueueCacheState(now, cache);
        }
    }

    /**
     * Sends one section to one peer at once.
     *
     * @param type from {@link PayloadProvider#FIRST_SECTION_TYPE} on
     * @return false where it was not sent, as the limit of bytes per second forbids it now: retry
     *     later
     */
    public boolean send(long now, int to, int type, ByteBuffer content) {
        return !hasLeft && to != localRank && updates.sendSection(now, to, type, content);
    }

    /**
     * Handles a datagram, in time that its length bounds. Invalid ones are counted and ignored.
     *
     * @param from the rank of the member whose address it came from
     */
    public void onDatagram(long now, int from, byte[] data, int length) {
        counters.received++;
        if (hasLeft) {
            return;
        }
        GossipDatagram.RejectionReason rejection = GossipDatagram.validate(data, length);
        if (rejection != null) {
            countRejected(rejection);
            return;
        }
        GossipDatagram in = GossipDatagram.read(data, length);
        if (in.sender != from || from < 0 || from >= members.count || from == localRank) {
            counters.wrongSender++;
            return;
        }
        if (!membership.checkPlausible(now, in.incarnation)) {
            return;
        }
        membership.recordContact(now, from, in.incarnation);
        // Sections first: an answer should reflect what they contained.
        boolean hasRequestedVersions = sections.read(now, in);
        switch (in.kind) {
            case PING -> failureDetector.onPing(now, in);
            case PING_REQUEST -> failureDetector.onPingRequest(now, in);
            case ACK -> failureDetector.onAck(now, in);
            default -> {
                if (hasRequestedVersions) {
                    updates.sendTo(now, from);
                }
            }
        }
    }

    private void countRejected(GossipDatagram.RejectionReason reason) {
        switch (reason) {
            case CORRUPT -> counters.damaged++;
            case FOREIGN -> counters.foreign++;
            case OVERSIZED -> counters.oversized++;
            default -> counters.unsupportedVersion++;
        }
    }

    /** When {@link #onTimer} is to be called next. */
    public long nextTimerAtNanos() {
        if (hasLeft) {
            return NEVER_NANOS;
        }
        return Math.min(
                Math.min(failureDetector.nextTimerAtNanos(), updates.nextTimerAtNanos()),
                suspicions.nextExpiryAtNanos());
    }

    /** Does what is due; to be called at {@link #nextTimerAtNanos}, or a little later. */
    public void onTimer(long now) {
        if (hasLeft) {
            return;
        }
        if (now - nextTimerAtNanos() > PAUSE_THRESHOLD_NANOS) {
            counters.pauses++;
            failureDetector.onPause(now);
            suspicions.restart(now);
        }
        membership.endExpiredSuspicions(now);
        failureDetector.onTimer(now);
        updates.onTimer(now);
    }

    /** Whether so long nothing was received that nothing is known of the peers. */
    public boolean isIsolated(long now) {
        return membership.isIsolated(now);
    }

    /** Notifies some peers that this member shuts down; nothing is sent from then on. */
    public void leave(long now) {
        if (hasLeft) {
            return;
        }
        updates.sendLeave(now);
        hasLeft = true;
    }

    /** What is known of a member at a moment. */
    public MemberSnapshot snapshot(long now, int rank) {
        boolean isLocal = rank == localRank;
        int fingerprint = members.fingerprints[rank];
        return new MemberSnapshot(
                rank,
                !isLocal && isIsolated(now) ? MemberState.UNKNOWN : members.state(rank),
                members.incarnations[rank],
                members.sequences[rank],
                fingerprint,
                versions.get(fingerprint),
                isLocal ? 0 : members.ageNanos(now, rank));
    }

    /** The number of members. */
    public int memberCount() {
        return members.count;
    }

    /** The local member's rank. */
    public int rank() {
        return localRank;
    }

    /** The local member's current incarnation. */
    public long incarnation() {
        return members.incarnations[localRank];
    }

    /** What was sent, received and rejected so far. */
    public Counters counters() {
        return counters;
    }
}
