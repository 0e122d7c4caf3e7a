package frostrelay.gossip;

import java.nio.ByteBuffer;
import java.util.SplittableRandom;

/**
 * One member of a cluster of balancers, which tracks the members that are alive and the versions
 * that each applies. Detects failures by the SWIM protocol with Lifeguard's local health
 * multiplier, and disseminates updates by gossip. Event-driven: it starts no thread, reads no clock
 * and sends through {@link Actions}. Not thread-safe. Times are nanoseconds of one monotonic clock.
 *
 * <p>Each member is authoritative for its own entry, which is ordered by its incarnation and the
 * sequence number of its applied versions. Claims about other members are forwarded, and the member
 * concerned may refute them. {@code docs/design/gossip.md} compares the alternatives.
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

    /** Receives changes of the known state of members and caches. */
    public interface Listener {
        /**
         * A member's state has changed.
         *
         * @param reportedBy the rank of the member that reported it; the member itself if its own
         *     datagram caused the change
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
         * @param fingerprint of the versions; the versions themselves may be received later
         * @param ageNanos time since the member confirmed this itself
         */
        default void onMemberEntry(
                long now,
                int rank,
                long incarnation,
                int sequence,
                int fingerprint,
                long ageNanos) {}

        /** The applied versions with a fingerprint have become known. */
        default void onAppliedVersions(
                long now, int fingerprint, AppliedVersions appliedVersions) {}

        /** A cache is unavailable according to a peer's revision of the endpoint list. */
        default void onCacheUnavailable(long now, int from, long listRevision, long cache) {}

        /** A recently unavailable cache is available by a peer's revision of the endpoint list. */
        default void onCacheRestored(long now, int from, long listRevision, long cache) {}

        /**
         * A section of another module was received.
         *
         * @param queueingDelayNanos how much longer it was delayed in transit than the fastest
         *     recent datagram
         * @param type from {@link PayloadProvider#FIRST_SECTION_TYPE} on
         * @param content not validated
         */
        default void onPayload(
                long now,
                long queueingDelayNanos,
                int from,
                long incarnation,
                int type,
                ByteBuffer content) {}

        /**
         * A peer answered a probe: its uptime was {@code peerUptimeMillis} at some time between
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

    /** Expiry time of a timer that is not set. */
    static final long NEVER_NANOS = Long.MAX_VALUE;

    /** Timer delay beyond which missing answers are attributed to a pause of this process. */
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
     * Creates a member that has no information about its peers yet.
     *
     * @param localRank rank of this member, below {@code count}
     * @param count number of members
     * @param incarnation of this process, by {@link Incarnation#fromUnixMillis}
     * @param seed of the random choice of peers
     * @param appliedVersions the versions that this member initially applies
     * @param sequence number of earlier changes of the applied versions in this incarnation
     * @throws IllegalArgumentException if the rank is not in the cluster, or there are too many
     *     members
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
        checkRank(localRank, count);
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
                        // Random offset, so that members that start together do not probe at the
                        // same time.
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

    private static void checkRank(int localRank, int count) {
        if (localRank < 0 || localRank >= count || count > GossipDatagram.NO_RANK) {
            throw new IllegalArgumentException(
                    "rank "
                            + localRank
                            + " in a cluster of "
                            + count
                            + ": allowed are ranks 0 to "
                            + (count - 1)
                            + " and at most "
                            + GossipDatagram.NO_RANK
                            + " members");
        }
    }

    /**
     * Records and announces a change of the versions that this member applies.
     *
     * @param sequence number of changes in this incarnation
     */
    public void updateAppliedVersions(long now, AppliedVersions appliedVersions, int sequence) {
        int fingerprint = appliedVersions.fingerprint();
        members.fingerprints[localRank] = fingerprint;
        members.sequences[localRank] = sequence & 0xffff;
        versions.add(now, fingerprint, appliedVersions);
        membership.announceLocalState(now);
    }

    /** Sets the provider of other modules' sections. */
    public void setPayloadProvider(PayloadProvider provider) {
        writer.setPayloadProvider(provider);
    }

    /**
     * Disseminates a change of other modules' sections like an update. The sections are rewritten
     * for each datagram.
     */
    public void announcePayloadChange(long now) {
        updates.enqueuePayload(now);
    }

    /**
     * Disseminates the availability of a cache in the local endpoint list, for peers on an older
     * revision. Does nothing for an available cache that was not recently unavailable.
     */
    public void announceCacheState(long now, long listRevision, long cache, boolean isAvailable) {
        if (caches.record(listRevision, cache, isAvailable)) {
            updates.enqueueCacheState(now, cache);
        }
    }

    /**
     * Sends one section to one peer immediately.
     *
     * @param type from {@link PayloadProvider#FIRST_SECTION_TYPE} on
     * @return false if it was not sent: the bandwidth limit is reached and the caller should retry
     *     later, this member has left, or it is the destination
     */
    public boolean send(long now, int to, int type, ByteBuffer content) {
        return !hasLeft && to != localRank && updates.sendSection(now, to, type, content);
    }

    /**
     * Handles a datagram, in time bounded by its length. Invalid datagrams are counted and ignored.
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
        // Reads the sections first, so that an answer reflects their contents.
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

    /** Returns the time at which {@link #onTimer} is to be called next. */
    public long nextTimerAtNanos() {
        if (hasLeft) {
            return NEVER_NANOS;
        }
        return Math.min(
                Math.min(failureDetector.nextTimerAtNanos(), updates.nextTimerAtNanos()),
                suspicions.nextExpiryAtNanos());
    }

    /** Runs the timers that are due; to be called at {@link #nextTimerAtNanos} or shortly after. */
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

    /** Returns whether nothing was received from any peer within the isolation timeout. */
    public boolean isIsolated(long now) {
        return membership.isIsolated(now);
    }

    /** Notifies some peers of the shutdown of this member and stops sending. */
    public void leave(long now) {
        if (hasLeft) {
            return;
        }
        updates.sendLeave(now);
        hasLeft = true;
    }

    /** Returns the known state of a member at time {@code now}. */
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

    /** Returns the number of members, including this one. */
    public int memberCount() {
        return members.count;
    }

    public int rank() {
        return localRank;
    }

    /** Returns the local member's current incarnation. */
    public long incarnation() {
        return members.incarnations[localRank];
    }

    /** Returns the counts of datagrams and events; the object is updated in place. */
    public Counters counters() {
        return counters;
    }
}
