package frostrelay.gossip;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One balancer among its peers: who is there and what each acts on. Probes as SWIM does (straight,
 * then through others), doubts itself as Lifeguard does, and tells news to a few at a time. Decides
 * by events alone: it starts no thread, reads no clock and sends through {@link Actions}. For one
 * thread; moments are nanoseconds of one clock that never falls.
 *
 * <p>What a peer says is believed of itself only, by its incarnation and the number of its stamp;
 * of others it is passed on, and the one concerned may object. {@code docs/design/peers.md} has the
 * ways weighed.
 */
public final class GossipNode {
    /** Where datagrams go. */
    public interface Actions {
        /**
         * Sends one to a balancer, by its number. The bytes are the caller's again when this
         * returns.
         */
        void send(int destination, byte[] data, int length);
    }

    /** Hears what changed in the knowledge of others; each method may be left out. */
    public interface Listener {
        /** {@code reportedBy}: who said so, by its number; itself for what it said itself. */
        default void onMemberState(
                long now, int rank, long incarnation, MemberState state, int reportedBy) {}

        /**
         * This balancer goes by another incarnation: it objected, or overtook an earlier life of
         * its name.
         */
        default void onLocalIncarnation(long now, long incarnation) {}

        /**
         * A balancer acts on something else. {@code fingerprint}: of the stamp, whose content may
         * come later.
         */
        default void onMemberEntry(
                long now,
                int rank,
                long incarnation,
                int sequence,
                int fingerprint,
                long ageNanos) {}

        /** The content of a stamp is known now. */
        default void onAppliedVersions(
                long now, int fingerprint, AppliedVersions appliedVersions) {}

        /** A peer says, by its own list of that version, that a cache is not to be used. */
        default void onCacheUnavailable(long now, int from, long listRevision, long cache) {}

        /** Likewise that it may be used again, having been ruled out lately. */
        default void onCacheRestored(long now, int from, long listRevision, long cache) {}

        /**
         * A section of another module came, of a type from {@link
         * PayloadProvider#FIRST_SECTION_TYPE} on; whatever it holds is unchecked. {@code
         * queueingDelayNanos}: so many nanoseconds it was held up on its way, over the fastest way
         * lately.
         */
        default void onPayload(
                long now,
                long queueingDelayNanos,
                int from,
                long incarnation,
                int type,
                ByteBuffer content) {}

        /**
         * A peer answered a probe: its life was {@code peerUptimeMillis} old at some moment between
         * {@code sent} and now.
         */
        default void onClockSample(
                long now, int rank, long incarnation, long sentAtNanos, long peerUptimeMillis) {}
    }

    /** Counts since the start, for whoever prints them. */
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

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int NOBODY = 0xffff;

    /**
     * News goes to so many at once when it is new, then to {@link #NEXT_ROUND_FANOUT} every {@link
     * #ROUND_INTERVAL_NANOS}.
     */
    private static final int FIRST_ROUND_FANOUT = 3;

    private static final int NEXT_ROUND_FANOUT = 2;

    /**
     * In tiers of so few others all are told at once, and once more: targets drawn by chance miss
     * one in five of four.
     */
    private static final int SMALL_CLUSTER_PEERS = 8;

    private static final int SMALL_CLUSTER_SENDS_PER_PEER = 2;

    /** Five times the slowest way: what came back from the first round is taken into the second. */
    private static final long ROUND_INTERVAL_NANOS = 150 * NANOS_PER_MILLI;

    /** What comes within this is told together: half of a usual way. */
    private static final long BATCH_DELAY_NANOS = 10 * NANOS_PER_MILLI;

    /**
     * Sends of each item are this times the logarithm of the fleet, to base 2: enough at 30% loss
     * for 99 of 100.
     */
    private static final double SENDS_FACTOR = 1.5;

    /** A probe is filled up to this with rows in turn, so that what rumours missed comes round. */
    private static final int PROBE_FILL_BYTES = 102;

    /**
     * Probes and answers carry others' cargo up to this: two of them a second cost an eighth of the
     * ceiling.
     */
    private static final int PAYLOAD_FILL_BYTES = 134;

    private static final int INDIRECT_PROBE_PEERS = 3;

    /**
     * Straight tries in a period; at the third, others are asked as well. At 30% loss all fail in
     * 15 of 1,000 periods.
     */
    private static final int MAX_PROBE_ATTEMPTS = 5;

    private static final int INDIRECT_PROBE_ATTEMPT = 2;

    /**
     * One probe in so many looks whether one that is gone is back: a healed partition is found so.
     */
    private static final int DEAD_MEMBER_PROBE_INTERVAL = 5;

    /** Suspicions by so many others cut the time to object to its least. */
    private static final int MAX_CONFIRMATIONS = 3;

    private static final int UNCONFIRMED_FACTOR = 3;
    private static final int MAX_SELF_DOUBT = 4;

    /** A timer that comes so late tells of a pause of this process, not of its peers' silence. */
    private static final long PAUSE_THRESHOLD_NANOS = 500 * NANOS_PER_MILLI;

    private static final int MAX_APPLIED_VERSIONS = 256;
    private static final int MAX_RELAYS = 64;
    private static final long AGE_UNIT_NANOS = 100 * NANOS_PER_MILLI;
    private static final int MAX_AGE_UNITS = 255;
    private static final long NEVER_NANOS = Long.MAX_VALUE;

    /** Of the ceiling; two probes and two answers in a second have the rest. */
    private static final double UPDATE_BANDWIDTH_FRACTION = 5 / 8.0;

    /** Head, sum, a row and a stamp: with less room it is better to wait. */
    private static final int MIN_UPDATE_BYTES = 106;

    private static final class Suspicion {
        final int rank;
        final long incarnation;
        final long sinceNanos;
        final List<Integer> reporters = new ArrayList<>(MAX_CONFIRMATIONS);

        Suspicion(int rank, long incarnation, long sinceNanos) {
            this.rank = rank;
            this.incarnation = incarnation;
            this.sinceNanos = sinceNanos;
        }
    }

    /** What the own list of a version said of a cache. */
    private record CacheState(long listRevision, boolean isAvailable) {}

    private record Relay(int requester, int nonce, long expiresAtNanos) {}

    private final GossipSettings settings;
    private final int localRank;
    private final MembershipTable members;
    private final SplittableRandom random;
    private final Actions actions;
    private final Listener listener;
    private final BandwidthLimiter bandwidthLimiter;

    /** Of news alone: if it took the whole ceiling, the living would look dead. */
    private final BandwidthLimiter updateLimiter;

    private final UpdateQueue updates = new UpdateQueue();
    private final Counters counters = new Counters();
    private final ByteBuffer out = ByteBuffer.allocate(GossipDatagram.MAX_BYTES);
    private final PayloadBuffer payload = new PayloadBuffer(out);
    private PayloadProvider payloadProvider = PayloadProvider.NONE;
    private final long startedAtNanos;
    private final long startIncarnation;
    private final List<Suspicion> suspicions = new ArrayList<>();

    /** Those asked for others, by the nonce of the probe that went out for it. */
    private final Map<Integer, Relay> relays = new LinkedHashMap<>();

    private final Map<Integer, AppliedVersions> versionsByFingerprint;

    /** Caches that the own list ruled out lately, and by which version. */
    private final Map<Long, CacheState> cacheStates = new LinkedHashMap<>();

    private final int[] probeOrder;
    private int probeOrderIndex;
    private int fillIndex;
    private int periodCount;
    private long nextPeriodAtNanos;
    private int probeTarget = NOBODY;
    private int probeNonce;
    private int probeAttempt;
    private long nextAttemptAtNanos = NEVER_NANOS;
    private long probeSentAtNanos;
    private long nextRoundAtNanos = NEVER_NANOS;
    private boolean isFirstRound;
    private int selfDoubt;
    private long lastHeardAtNanos;
    private int lastNonce;
    private boolean hasLeft;

    /**
     * {@code localRank}: this balancer's number among {@code memberCount}; {@code incarnation}: of
     * this life, by {@link Incarnation#fromUnixMillis}; {@code appliedVersions}: what it acts on
     * from the first; {@code sequence}: how often that had changed before in this life.
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
        if (localRank < 0 || localRank >= count || count > NOBODY) {
            throw new IllegalArgumentException("balancer " + localRank + " of " + count);
        }
        this.settings = settings;
        this.localRank = localRank;
        this.actions = actions;
        this.listener = listener;
        members = new MembershipTable(count);
        random = new SplittableRandom(seed);
        bandwidthLimiter = new BandwidthLimiter(settings.maxBytesPerSecond());
        updateLimiter =
                new BandwidthLimiter(
                        Math.max(
                                GossipDatagram.MAX_BYTES,
                                (int) (settings.maxBytesPerSecond() * UPDATE_BANDWIDTH_FRACTION)));
        startedAtNanos = now;
        startIncarnation = incarnation;
        lastHeardAtNanos = now;
        versionsByFingerprint = new LinkedHashMap<>();
        probeOrder = new int[count - 1];
        for (int i = 0; i < probeOrder.length; i++) {
            probeOrder[i] = i < localRank ? i : i + 1;
        }
        shuffle();
        members.state(localRank, MemberState.ALIVE);
        members.incarnations[localRank] = incarnation;
        members.fingerprints[localRank] = appliedVersions.fingerprint();
        members.sequences[localRank] = sequence & 0xffff;
        members.reportedAtNanos[localRank] = now;
        storeVersions(now, appliedVersions.fingerprint(), appliedVersions);
        // Spread over a period: balancers that start together do not probe together.
        nextPeriodAtNanos = now + random.nextLong(settings.probePeriodNanos());
        announceLocalState(now);
    }

    private void shuffle() {
        for (int i = probeOrder.length - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            int swap = probeOrder[i];
            probeOrder[i] = probeOrder[other];
            probeOrder[other] = swap;
        }
    }

    // What comes in.

    /**
     * This balancer acts on something else from now on; {@code sequence}: how often that has
     * changed in this life.
     */
    public void updateAppliedVersions(long now, AppliedVersions appliedVersions, int sequence) {
        int fingerprint = appliedVersions.fingerprint();
        members.fingerprints[localRank] = fingerprint;
        members.sequences[localRank] = sequence & 0xffff;
        storeVersions(now, fingerprint, appliedVersions);
        announceLocalState(now);
    }

    /** What rides along from now on. */
    public void setPayloadProvider(PayloadProvider provider) {
        payloadProvider = provider;
    }

    /**
     * The cargo holds something that others are to hear soon: it goes round as news does, each time
     * as it is then.
     */
    public void announcePayloadChange(long now) {
        enqueueUpdate(now, GossipDatagram.PAYLOAD, NOBODY, 0, NOBODY, 0);
    }

    /**
     * Sends one section to one peer now; false where the ceiling does not let it through: it may be
     * tried again later.
     */
    public boolean send(long now, int to, int type, ByteBuffer content) {
        if (hasLeft
                || to == localRank
                || Math.min(bandwidthLimiter.availableBytes(now), updateLimiter.availableBytes(now))
                        < GossipDatagram.HEADER_BYTES
                                + GossipDatagram.CHECKSUM_BYTES
                                + GossipDatagram.UPTIME_SECTION_BYTES
                                + GossipDatagram.SECTION_HEADER_BYTES
                                + content.remaining()) {
            return false;
        }
        begin(now, GossipDatagram.Kind.UPDATE, ++lastNonce, NOBODY);
        if (!payload.withMaxBytes(GossipDatagram.MAX_BYTES).add(type, content) || !send(now, to)) {
            return false;
        }
        updateLimiter.tryConsume(now, out.position());
        return true;
    }

    /** Each datagram says when it was written, by the clock of this life. */
    private void begin(long now, GossipDatagram.Kind kind, int nonce, int subject) {
        GossipDatagram.begin(
                out,
                settings.wireVersion(),
                kind,
                localRank,
                members.incarnations[localRank],
                nonce,
                subject);
        out.put((byte) GossipDatagram.UPTIME)
                .put((byte) Integer.BYTES)
                .putInt((int) ((now - startedAtNanos) / NANOS_PER_MILLI));
    }

    private void announceLocalState(long now) {
        enqueueUpdate(
                now,
                GossipDatagram.APPLIED_VERSIONS,
                NOBODY,
                0,
                NOBODY,
                members.fingerprints[localRank]);
        enqueueUpdate(
                now,
                GossipDatagram.MEMBER_ENTRIES,
                localRank,
                members.incarnations[localRank],
                localRank,
                0);
    }

    /**
     * A datagram came from the address of the balancer {@code start}. Whatever it holds costs
     * bounded work.
     */
    public void onDatagram(long now, int from, byte[] data, int length) {
        counters.received++;
        if (hasLeft) {
            return;
        }
        GossipDatagram.RejectionReason rejection = GossipDatagram.validate(data, length);
        if (rejection != null) {
            switch (rejection) {
                case CORRUPT -> counters.damaged++;
                case FOREIGN -> counters.foreign++;
                case OVERSIZED -> counters.oversized++;
                default -> counters.unsupportedVersion++;
            }
            return;
        }
        GossipDatagram in = GossipDatagram.read(data, length);
        if (in.sender != from || from < 0 || from >= members.count || from == localRank) {
            counters.wrongSender++;
            return;
        }
        if (!isPlausible(now, in.incarnation)) {
            counters.implausible++;
            return;
        }
        recordContact(now, from, in.incarnation);
        // Sections first: an answer is to be made with what came.
        boolean hasRequestedVersions = readSections(now, in);
        switch (in.kind) {
            case PING -> sendAck(now, in);
            case PING_REQUEST -> relayProbe(now, in);
            case ACK -> onAck(now, in);
            default -> {
                if (hasRequestedVersions) {
                    sendUpdates(now, from);
                }
            }
        }
    }

    private boolean isPlausible(long now, long incarnation) {
        return Incarnation.isPlausible(
                incarnation, startIncarnation, (now - startedAtNanos) / NANOS_PER_MILLI);
    }

    /** A peer lives, by its own word. */
    private void recordContact(long now, int from, long incarnation) {
        lastHeardAtNanos = now;
        members.heardAtNanos[from] = now;
        if (incarnation > members.incarnations[from]
                || members.state(from) == MemberState.UNKNOWN
                        && incarnation == members.incarnations[from]) {
            markAlive(now, from, incarnation, from);
        }
        if (incarnation == members.incarnations[from] && members.state(from).isParticipating()) {
            members.missedProbes[from] = 0;
            if (members.state(from) == MemberState.ALIVE) {
                members.reportedAtNanos[from] = now;
            }
        }
    }

    private void markAlive(long now, int rank, long incarnation, int reportedBy) {
        boolean isNewIncarnation = incarnation > members.incarnations[rank];
        boolean isNewMember = members.state(rank) == MemberState.UNKNOWN;
        if (isNewIncarnation) {
            if (Incarnation.toUnixMillis(incarnation)
                    != Incarnation.toUnixMillis(members.incarnations[rank])) {
                // Another life: nothing is known of what it acts on.
                members.fingerprints[rank] = AppliedVersions.NO_FINGERPRINT;
                members.sequences[rank] = 0;
                members.reportedAtNanos[rank] = MembershipTable.NEVER_NANOS;
            }
            members.incarnations[rank] = incarnation;
        }
        members.missedProbes[rank] = 0;
        suspicions.removeIf(suspicion -> suspicion.rank == rank);
        if (members.state(rank) != MemberState.ALIVE) {
            members.state(rank, MemberState.ALIVE);
            listener.onMemberState(now, rank, incarnation, MemberState.ALIVE, reportedBy);
        } else if (isNewIncarnation) {
            listener.onMemberState(now, rank, incarnation, MemberState.ALIVE, reportedBy);
        }
        enqueueUpdate(
                now, GossipDatagram.MEMBER_ENTRIES, rank, incarnation, reportedBy, 0, isNewMember);
    }

    /**
     * Reads all sections; returns whether the sender wants a stamp's content that is known here.
     */
    private boolean readSections(long now, GossipDatagram in) {
        boolean hasRequestedVersions = false;
        long queueingDelayNanos = 0;
        ByteBuffer unread = in.sections;
        while (unread.remaining() >= GossipDatagram.SECTION_HEADER_BYTES) {
            int type = unread.get() & 0xff;
            int length = unread.get() & 0xff;
            if (length > unread.remaining()) {
                counters.damaged++;
                return hasRequestedVersions;
            }
            ByteBuffer section = unread.slice(unread.position(), length);
            unread.position(unread.position() + length);
            switch (type) {
                case GossipDatagram.MEMBER_ENTRIES -> readMemberEntries(now, in, section);
                case GossipDatagram.APPLIED_VERSIONS -> {
                    if (length >= AppliedVersions.BYTES) {
                        AppliedVersions stamp = AppliedVersions.read(section);
                        int fingerprint = stamp.fingerprint();
                        if (!versionsByFingerprint.containsKey(fingerprint)) {
                            storeVersions(now, fingerprint, stamp);
                            enqueueUpdate(
                                    now,
                                    GossipDatagram.APPLIED_VERSIONS,
                                    NOBODY,
                                    0,
                                    NOBODY,
                                    fingerprint);
                        } else {
                            updates.recordDuplicate(
                                    GossipDatagram.APPLIED_VERSIONS, NOBODY, NOBODY, fingerprint);
                        }
                    }
                }
                case GossipDatagram.SUSPECT, GossipDatagram.DEAD, GossipDatagram.LEFT ->
                        readClaim(now, in, type, section);
                case GossipDatagram.VERSIONS_REQUEST -> {
                    if (length >= Integer.BYTES) {
                        int fingerprint = section.getInt();
                        if (versionsByFingerprint.containsKey(fingerprint)) {
                            enqueueUpdate(
                                    now,
                                    GossipDatagram.APPLIED_VERSIONS,
                                    NOBODY,
                                    0,
                                    NOBODY,
                                    fingerprint);
                            hasRequestedVersions = true;
                        }
                    }
                }
                case GossipDatagram.CACHE_UNAVAILABLE -> {
                    while (section.remaining() >= GossipDatagram.CACHE_STATE_BYTES) {
                        listener.onCacheUnavailable(
                                now, in.sender, section.getLong(), section.getLong());
                    }
                }
                case GossipDatagram.CACHE_RESTORED -> {
                    while (section.remaining() >= GossipDatagram.CACHE_STATE_BYTES) {
                        listener.onCacheRestored(
                                now, in.sender, section.getLong(), section.getLong());
                    }
                }
                case GossipDatagram.UPTIME -> {
                    if (length < Integer.BYTES) {
                        continue;
                    }
                    long uptimeMillis = section.getInt() & 0xffffffffL;
                    queueingDelayNanos =
                            members.queueingDelayNanos(
                                    now,
                                    in.sender,
                                    Incarnation.toUnixMillis(in.incarnation),
                                    uptimeMillis);
                    if (in.kind == GossipDatagram.Kind.ACK
                            && in.nonce == probeNonce
                            && in.sender == probeTarget
                            && in.subject == NOBODY) {
                        listener.onClockSample(
                                now, in.sender, in.incarnation, probeSentAtNanos, uptimeMillis);
                    }
                }
                default -> {
                    // Others' cargo, or of a later build.
                    if (type >= PayloadProvider.FIRST_SECTION_TYPE) {
                        listener.onPayload(
                                now, queueingDelayNanos, in.sender, in.incarnation, type, section);
                    }
                }
            }
        }
        return hasRequestedVersions;
    }

    private void readMemberEntries(long now, GossipDatagram in, ByteBuffer section) {
        if (section.remaining() < Integer.BYTES) {
            return;
        }
        int fingerprint = section.getInt();
        while (section.remaining() >= GossipDatagram.MEMBER_ENTRY_BYTES) {
            int rank = section.getShort() & NOBODY;
            long incarnation = GossipDatagram.readU48(section);
            int sequence = section.getShort() & 0xffff;
            long ageNanos = (section.get() & 0xff) * AGE_UNIT_NANOS;
            if (rank >= members.count) {
                continue;
            }
            if (!isPlausible(now, incarnation)) {
                counters.implausible++;
            } else if (rank == localRank) {
                refute(now, incarnation, incarnation > members.incarnations[localRank]);
            } else {
                applyMemberEntry(
                        now, in.sender, rank, incarnation, sequence, fingerprint, ageNanos);
            }
        }
    }

    private void applyMemberEntry(
            long now,
            int reportedBy,
            int rank,
            long incarnation,
            int sequence,
            int fingerprint,
            long ageNanos) {
        if (incarnation < members.incarnations[rank]) {
            return;
        }
        if (incarnation > members.incarnations[rank]
                || members.state(rank) == MemberState.UNKNOWN) {
            markAlive(now, rank, incarnation, reportedBy);
        }
        boolean isFirst = members.fingerprints[rank] == AppliedVersions.NO_FINGERPRINT;
        if (isFirst || MembershipTable.isLater(sequence, members.sequences[rank])) {
            members.fingerprints[rank] = fingerprint;
            members.sequences[rank] = sequence;
            members.reportedAtNanos[rank] = Math.max(members.reportedAtNanos[rank], now - ageNanos);
            listener.onMemberEntry(now, rank, incarnation, sequence, fingerprint, ageNanos);
            enqueueUpdate(
                    now, GossipDatagram.MEMBER_ENTRIES, rank, incarnation, reportedBy, 0, isFirst);
        } else if (sequence == members.sequences[rank]) {
            updates.recordDuplicate(GossipDatagram.MEMBER_ENTRIES, rank, reportedBy, 0);
            members.reportedAtNanos[rank] = Math.max(members.reportedAtNanos[rank], now - ageNanos);
        }
    }

    private void readClaim(long now, GossipDatagram in, int type, ByteBuffer section) {
        if (section.remaining() < GossipDatagram.CLAIM_BYTES) {
            return;
        }
        int rank = section.getShort() & NOBODY;
        long incarnation = GossipDatagram.readU48(section);
        int reportedBy = section.getShort() & NOBODY;
        if (rank >= members.count || reportedBy >= members.count) {
            return;
        }
        if (!isPlausible(now, incarnation)) {
            counters.implausible++;
        } else if (rank == localRank) {
            refute(now, incarnation, incarnation >= members.incarnations[localRank]);
        } else if (incarnation >= members.incarnations[rank]) {
            if (incarnation > members.incarnations[rank]) {
                members.incarnations[rank] = incarnation;
                members.fingerprints[rank] = AppliedVersions.NO_FINGERPRINT;
            }
            switch (type) {
                case GossipDatagram.SUSPECT -> suspect(now, rank, reportedBy);
                case GossipDatagram.DEAD -> markEnded(now, rank, MemberState.GONE, reportedBy);
                default -> {
                    // Only the one concerned says that it ends; others pass it on.
                    markEnded(now, rank, MemberState.LEFT, reportedBy);
                }
            }
        }
    }

    /** Somebody says of this balancer what it would not, or knows a later life of it. */
    private void refute(long now, long incarnation, boolean shouldRefute) {
        if (!shouldRefute) {
            return;
        }
        counters.refutations++;
        members.incarnations[localRank] =
                Incarnation.toUnixMillis(incarnation)
                                == Incarnation.toUnixMillis(members.incarnations[localRank])
                        ? Incarnation.next(incarnation)
                        : Incarnation.nextStartAfter(incarnation);
        // Being suspected is a sign that this process is slow.
        selfDoubt = Math.min(MAX_SELF_DOUBT, selfDoubt + 1);
        listener.onLocalIncarnation(now, members.incarnations[localRank]);
        announceLocalState(now);
    }

    /**
     * By this balancer's own list of a version, a cache is not to be used any more, or may be used
     * again ({@code isAvailable}). Others that act on an older list care. One that was never ruled
     * out is news to nobody.
     */
    public void announceCacheState(long now, long listRevision, long cache, boolean isAvailable) {
        if (isAvailable && !cacheStates.containsKey(cache)) {
            return;
        }
        cacheStates.remove(cache);
        if (cacheStates.size() >= MAX_APPLIED_VERSIONS) {
            cacheStates.remove(cacheStates.keySet().iterator().next());
        }
        cacheStates.put(cache, new CacheState(listRevision, isAvailable));
        enqueueUpdate(now, GossipDatagram.CACHE_UNAVAILABLE, NOBODY, cache, localRank, (int) cache);
    }

    // Suspicion.

    private void suspect(long now, int rank, int reportedBy) {
        MemberState state = members.state(rank);
        if (state == MemberState.GONE || state == MemberState.LEFT) {
            return;
        }
        Suspicion found = null;
        for (Suspicion suspicion : suspicions) {
            if (suspicion.rank == rank) {
                found = suspicion;
            }
        }
        if (found == null) {
            found = new Suspicion(rank, members.incarnations[rank], now);
            suspicions.add(found);
            members.state(rank, MemberState.SUSPECTED);
            counters.suspicions++;
            listener.onMemberState(now, rank, found.incarnation, MemberState.SUSPECTED, reportedBy);
        }
        if (found.reporters.size() < MAX_CONFIRMATIONS && !found.reporters.contains(reportedBy)) {
            found.reporters.add(reportedBy);
            enqueueUpdate(now, GossipDatagram.SUSPECT, rank, found.incarnation, reportedBy, 0);
        } else {
            updates.recordDuplicate(GossipDatagram.SUSPECT, rank, reportedBy, 0);
        }
    }

    /**
     * Others' suspicions shorten the wait: many that cannot reach it are unlikely to be all at
     * fault.
     */
    private long suspicionExpiresAtNanos(Suspicion suspicion) {
        double scale = Math.max(1, Math.log10(members.count));
        double minNanos = settings.suspicionTimeoutNanos() * scale;
        double maxNanos = minNanos * UNCONFIRMED_FACTOR * (1 + selfDoubt);
        double confirmedFraction =
                Math.log(suspicion.reporters.size()) / Math.log(MAX_CONFIRMATIONS);
        return suspicion.sinceNanos
                + (long) (maxNanos - (maxNanos - minNanos) * Math.min(1, confirmedFraction));
    }

    private void markEnded(long now, int rank, MemberState state, int reportedBy) {
        if (members.state(rank) == MemberState.GONE || members.state(rank) == MemberState.LEFT) {
            updates.recordDuplicate(GossipDatagram.DEAD, rank, reportedBy, 0);
            return;
        }
        suspicions.removeIf(suspicion -> suspicion.rank == rank);
        members.state(rank, state);
        listener.onMemberState(now, rank, members.incarnations[rank], state, reportedBy);
        enqueueUpdate(
                now,
                state == MemberState.LEFT ? GossipDatagram.LEFT : GossipDatagram.DEAD,
                rank,
                members.incarnations[rank],
                reportedBy,
                0);
    }

    // Probes.

    /** When {@link #onTimer} is to be called next. */
    public long nextTimerAtNanos() {
        if (hasLeft) {
            return NEVER_NANOS;
        }
        long nextNanos =
                Math.min(Math.min(nextPeriodAtNanos, nextAttemptAtNanos), nextRoundAtNanos);
        for (Suspicion suspicion : suspicions) {
            nextNanos = Math.min(nextNanos, suspicionExpiresAtNanos(suspicion));
        }
        return nextNanos;
    }

    /** To be called at {@link #nextTimerAtNanos}, or a little later. */
    public void onTimer(long now) {
        if (hasLeft) {
            return;
        }
        long lateNanos = now - nextTimerAtNanos();
        if (lateNanos > PAUSE_THRESHOLD_NANOS) {
            // This process stood still: what it did not hear meanwhile speaks against nobody.
            counters.pauses++;
            selfDoubt = Math.min(MAX_SELF_DOUBT, selfDoubt + 1);
            probeTarget = NOBODY;
            nextAttemptAtNanos = NEVER_NANOS;
            List<Suspicion> restarted = new ArrayList<>();
            for (Suspicion suspicion : suspicions) {
                Suspicion restartedSuspicion =
                        new Suspicion(suspicion.rank, suspicion.incarnation, now);
                restartedSuspicion.reporters.addAll(suspicion.reporters);
                restarted.add(restartedSuspicion);
            }
            suspicions.clear();
            suspicions.addAll(restarted);
            nextPeriodAtNanos = Math.max(nextPeriodAtNanos, now);
        }
        for (Suspicion suspicion : List.copyOf(suspicions)) {
            if (now >= suspicionExpiresAtNanos(suspicion)) {
                markEnded(now, suspicion.rank, MemberState.GONE, localRank);
            }
        }
        if (now >= nextPeriodAtNanos) {
            finishPeriod(now);
            nextPeriodAtNanos =
                    Math.max(
                            nextPeriodAtNanos + settings.probePeriodNanos(),
                            now + settings.probePeriodNanos() / 2);
            startProbe(now);
        } else if (now >= nextAttemptAtNanos) {
            sendProbeAttempt(now);
        }
        if (now >= nextRoundAtNanos) {
            sendRound(now);
        }
    }

    private void finishPeriod(long now) {
        if (probeTarget == NOBODY) {
            return;
        }
        int unanswered = probeTarget;
        probeTarget = NOBODY;
        nextAttemptAtNanos = NEVER_NANOS;
        if (!members.state(unanswered).isParticipating()
                || members.heardAtNanos[unanswered] >= probeSentAtNanos) {
            return;
        }
        selfDoubt = Math.min(MAX_SELF_DOUBT, selfDoubt + (isIsolated(now) ? 1 : 0));
        // A balancer that hears nobody has evidence against nobody.
        if (!isIsolated(now)
                && ++members.missedProbes[unanswered] >= settings.missedProbesToSuspect()) {
            members.missedProbes[unanswered] = 0;
            suspect(now, unanswered, localRank);
        }
    }

    /** Whether nobody was heard for so long that nothing is known of the others. */
    public boolean isIsolated(long now) {
        return now - lastHeardAtNanos >= settings.isolationTimeoutNanos();
    }

    private void startProbe(long now) {
        if (probeOrder.length == 0) {
            return;
        }
        periodCount++;
        probeTarget = chooseProbeTarget();
        if (probeTarget == NOBODY) {
            return;
        }
        probeNonce = ++lastNonce;
        probeSentAtNanos = now;
        probeAttempt = 0;
        sendProbeAttempt(now);
    }

    /**
     * One in doubt is asked again at once; then in turn, in an order drawn anew each time round, as
     * SWIM does.
     */
    private int chooseProbeTarget() {
        boolean shouldProbeDead = periodCount % DEAD_MEMBER_PROBE_INTERVAL == 0;
        for (int rank : probeOrder) {
            if (members.missedProbes[rank] > 0 && members.state(rank) == MemberState.ALIVE) {
                return rank;
            }
        }
        for (int i = 0; i < probeOrder.length; i++) {
            if (probeOrderIndex >= probeOrder.length) {
                shuffle();
                probeOrderIndex = 0;
            }
            int rank = probeOrder[probeOrderIndex++];
            MemberState state = members.state(rank);
            // Those that never came and those that went are asked now and then, the others in turn.
            if (state.isParticipating()
                    || shouldProbeDead
                    || state == MemberState.UNKNOWN && periodCount <= 2 * probeOrder.length) {
                return rank;
            }
        }
        return NOBODY;
    }

    private void sendProbeAttempt(long now) {
        long retryNanos = settings.probeRetryNanos() * (1 + selfDoubt);
        sendPing(now, probeTarget, probeNonce, probeAttempt == 0);
        if (probeAttempt == INDIRECT_PROBE_ATTEMPT) {
            for (int helper : pickPeers(INDIRECT_PROBE_PEERS, probeTarget)) {
                begin(now, GossipDatagram.Kind.PING_REQUEST, probeNonce, probeTarget);
                send(now, helper);
            }
        }
        probeAttempt++;
        nextAttemptAtNanos =
                probeAttempt < MAX_PROBE_ATTEMPTS && now + retryNanos < nextPeriodAtNanos
                        ? now + retryNanos
                        : NEVER_NANOS;
    }

    private void sendPing(long now, int to, int nonce, boolean shouldFill) {
        begin(now, GossipDatagram.Kind.PING, nonce, NOBODY);
        MemberState state = members.state(to);
        if (state == MemberState.SUSPECTED
                || state == MemberState.GONE
                || state == MemberState.LEFT) {
            // So that it can object.
            putClaim(
                    state == MemberState.SUSPECTED ? GossipDatagram.SUSPECT : GossipDatagram.DEAD,
                    to,
                    members.incarnations[to],
                    localRank);
        }
        putMemberEntries(now, List.of(localRank), GossipDatagram.MAX_BYTES);
        putVersionsRequest(to);
        putNewerCacheStates(to);
        payloadProvider.writeSections(now, to, payload.withMaxBytes(PAYLOAD_FILL_BYTES));
        if (shouldFill) {
            putEntriesInTurn(now);
        }
        send(now, to);
    }

    /** Asks for the content of the stamp that the peer acts on, where it is not known. */
    private void putVersionsRequest(int to) {
        int fingerprint = members.fingerprints[to];
        if (fingerprint != AppliedVersions.NO_FINGERPRINT
                && !versionsByFingerprint.containsKey(fingerprint)
                && GossipDatagram.availableBytes(out, GossipDatagram.MAX_BYTES) >= Integer.BYTES) {
            out.put((byte) GossipDatagram.VERSIONS_REQUEST)
                    .put((byte) Integer.BYTES)
                    .putInt(fingerprint);
        }
    }

    /** A peer that acts on an older list may have missed which caches it should leave alone. */
    private void putNewerCacheStates(int to) {
        AppliedVersions peerVersions =
                cacheStates.isEmpty() ? null : versionsByFingerprint.get(members.fingerprints[to]);
        if (peerVersions == null) {
            return;
        }
        for (Map.Entry<Long, CacheState> entry : cacheStates.entrySet()) {
            if (entry.getValue().listRevision > peerVersions.listRevision()
                    && GossipDatagram.availableBytes(out, GossipDatagram.MAX_BYTES)
                            >= GossipDatagram.CACHE_STATE_BYTES) {
                putCacheState(entry.getKey(), entry.getValue());
            }
        }
    }

    private void putCacheState(long cache, CacheState state) {
        out.put(
                        (byte)
                                (state.isAvailable
                                        ? GossipDatagram.CACHE_RESTORED
                                        : GossipDatagram.CACHE_UNAVAILABLE))
                .put((byte) GossipDatagram.CACHE_STATE_BYTES)
                .putLong(state.listRevision)
                .putLong(cache);
    }

    /**
     * Rows in turn, up to a size at which a probe is still cheap; none while there is more urgent
     * talk.
     */
    private void putEntriesInTurn(long now) {
        if (bandwidthLimiter.availableBytes(now) < settings.maxBytesPerSecond() / 2) {
            return;
        }
        int availableBytes = GossipDatagram.availableBytes(out, PROBE_FILL_BYTES) - Integer.BYTES;
        int first = fillIndex;
        while (availableBytes >= GossipDatagram.MEMBER_ENTRY_BYTES) {
            int fingerprint = members.fingerprints[fillIndex];
            boolean shouldSend =
                    fillIndex != localRank
                            && fingerprint != AppliedVersions.NO_FINGERPRINT
                            && members.state(fillIndex) == MemberState.ALIVE;
            if (shouldSend) {
                putMemberEntries(now, List.of(fillIndex), PROBE_FILL_BYTES);
                availableBytes =
                        GossipDatagram.availableBytes(out, PROBE_FILL_BYTES) - Integer.BYTES;
            }
            fillIndex = (fillIndex + 1) % members.count;
            if (fillIndex == first) {
                return;
            }
        }
    }

    private void sendAck(long now, GossipDatagram in) {
        begin(now, GossipDatagram.Kind.ACK, in.nonce, NOBODY);
        MemberState state = members.state(in.sender);
        if (in.incarnation < members.incarnations[in.sender]
                || state == MemberState.GONE
                || state == MemberState.SUSPECTED
                || state == MemberState.LEFT) {
            putClaim(
                    state == MemberState.SUSPECTED ? GossipDatagram.SUSPECT : GossipDatagram.DEAD,
                    in.sender,
                    members.incarnations[in.sender],
                    localRank);
        }
        putMemberEntries(now, List.of(localRank), GossipDatagram.MAX_BYTES);
        putVersionsRequest(in.sender);
        putNewerCacheStates(in.sender);
        payloadProvider.writeSections(now, in.sender, payload.withMaxBytes(PAYLOAD_FILL_BYTES));
        putEntriesInTurn(now);
        send(now, in.sender);
    }

    /** Probes another for one that got no answer; what comes back is passed on. */
    private void relayProbe(long now, GossipDatagram in) {
        if (in.subject >= members.count || in.subject == localRank || in.subject == in.sender) {
            return;
        }
        relays.values().removeIf(relay -> now > relay.expiresAtNanos);
        if (relays.size() >= MAX_RELAYS) {
            return;
        }
        int nonce = ++lastNonce;
        relays.put(nonce, new Relay(in.sender, in.nonce, now + settings.probePeriodNanos()));
        sendPing(now, in.subject, nonce, false);
    }

    private void onAck(long now, GossipDatagram in) {
        Relay relay = relays.remove(in.nonce);
        if (relay != null && in.subject == NOBODY && in.nonce != probeNonce) {
            begin(now, GossipDatagram.Kind.ACK, relay.nonce, in.sender);
            putMemberEntries(now, List.of(in.sender), GossipDatagram.MAX_BYTES);
            send(now, relay.requester);
            return;
        }
        boolean isDirect = in.sender == probeTarget && in.subject == NOBODY;
        boolean isIndirect = in.subject == probeTarget;
        if (probeTarget != NOBODY && in.nonce == probeNonce && (isDirect || isIndirect)) {
            members.missedProbes[probeTarget] = 0;
            probeTarget = NOBODY;
            nextAttemptAtNanos = NEVER_NANOS;
            selfDoubt = Math.max(0, selfDoubt - 1);
        }
    }

    // News.

    private void enqueueUpdate(
            long now, int type, int rank, long incarnation, int reportedBy, int fingerprint) {
        enqueueUpdate(now, type, rank, incarnation, reportedBy, fingerprint, false);
    }

    private void enqueueUpdate(
            long now,
            int type,
            int rank,
            long incarnation,
            int reportedBy,
            int fingerprint,
            boolean isNewMember) {
        int sends =
                (int)
                        Math.ceil(
                                (isNewMember ? SENDS_FACTOR / 2 : SENDS_FACTOR)
                                        * (Math.log(members.count + 1.0) / Math.log(2)));
        sends =
                isSmallCluster() && !isNewMember
                        ? Math.max(sends, SMALL_CLUSTER_SENDS_PER_PEER * probeOrder.length)
                        : sends;
        updates.add(
                new UpdateQueue.Update(
                        type, rank, incarnation, reportedBy, fingerprint, isNewMember, sends));
        isFirstRound = true;
        nextRoundAtNanos = Math.min(nextRoundAtNanos, now + BATCH_DELAY_NANOS);
    }

    private boolean isSmallCluster() {
        return probeOrder.length <= SMALL_CLUSTER_PEERS;
    }

    private void sendRound(long now) {
        List<Integer> targets =
                pickPeers(
                        isSmallCluster()
                                ? probeOrder.length
                                : isFirstRound ? FIRST_ROUND_FANOUT : NEXT_ROUND_FANOUT,
                        NOBODY);
        isFirstRound = false;
        boolean isRateLimited = false;
        for (int to : targets) {
            isRateLimited |= !updates.isEmpty() && !sendUpdates(now, to);
        }
        // With nobody to tell, it is kept for whoever comes: a probe finds them.
        nextRoundAtNanos =
                updates.isEmpty()
                        ? NEVER_NANOS
                        : now
                                + (targets.isEmpty()
                                        ? settings.probePeriodNanos()
                                        : ROUND_INTERVAL_NANOS);
    }

    /** Tells one peer what is new; false where the ceiling does not let it through. */
    private boolean sendUpdates(long now, int to) {
        List<UpdateQueue.Update> candidates = updates.mostUrgent();
        // A flood of greetings leaves half of the room to changes, which are not to wait for it.
        int reservedBytes =
                !candidates.isEmpty() && candidates.get(0).isNewMember
                        ? updateLimiter.maxBytesPerSecond() / 2
                        : 0;
        int maxBytes =
                Math.min(
                        GossipDatagram.MAX_BYTES,
                        Math.min(
                                bandwidthLimiter.availableBytes(now),
                                updateLimiter.availableBytes(now) - reservedBytes));
        if (maxBytes < MIN_UPDATE_BYTES) {
            counters.rateLimited++;
            return false;
        }
        begin(now, GossipDatagram.Kind.UPDATE, ++lastNonce, NOBODY);
        List<UpdateQueue.Update> sentItems = new ArrayList<>();
        List<Integer> entryRanks = new ArrayList<>();
        int entryBytes = 0;
        boolean hasPayload = false;
        for (UpdateQueue.Update item : candidates) {
            int requiredBytes =
                    GossipDatagram.SECTION_HEADER_BYTES
                            + switch (item.type) {
                                case GossipDatagram.APPLIED_VERSIONS -> AppliedVersions.BYTES;
                                case GossipDatagram.MEMBER_ENTRIES ->
                                        GossipDatagram.MEMBER_ENTRY_BYTES + Integer.BYTES;
                                case GossipDatagram.CACHE_UNAVAILABLE ->
                                        GossipDatagram.CACHE_STATE_BYTES;
                                case GossipDatagram.PAYLOAD -> 0;
                                default -> GossipDatagram.CLAIM_BYTES;
                            };
            if (GossipDatagram.availableBytes(out, maxBytes) - entryBytes
                    < requiredBytes - GossipDatagram.SECTION_HEADER_BYTES) {
                continue;
            }
            switch (item.type) {
                case GossipDatagram.APPLIED_VERSIONS -> {
                    AppliedVersions stamp = versionsByFingerprint.get(item.fingerprint);
                    if (stamp != null) {
                        out.put((byte) GossipDatagram.APPLIED_VERSIONS)
                                .put((byte) AppliedVersions.BYTES);
                        stamp.write(out);
                    }
                }
                case GossipDatagram.MEMBER_ENTRIES -> {
                    if (members.fingerprints[item.rank] != AppliedVersions.NO_FINGERPRINT) {
                        entryRanks.add(item.rank);
                        // Rows of one stamp share a section: what that spares is used by the next
                        // datagram.
                        entryBytes += requiredBytes;
                    }
                }
                case GossipDatagram.CACHE_UNAVAILABLE -> {
                    CacheState cacheState = cacheStates.get(item.incarnation);
                    if (cacheState != null) {
                        putCacheState(item.incarnation, cacheState);
                    }
                }
                case GossipDatagram.PAYLOAD -> hasPayload = true;
                default -> putClaim(item.type, item.rank, item.incarnation, item.reportedBy);
            }
            sentItems.add(item);
        }
        entryRanks.sort(
                (a, b) -> Integer.compare(members.fingerprints[a], members.fingerprints[b]));
        putMemberEntries(now, entryRanks, maxBytes);
        if (hasPayload) {
            payloadProvider.writeSections(now, to, payload.withMaxBytes(maxBytes));
        }
        if (!sentItems.isEmpty() && send(now, to)) {
            updateLimiter.tryConsume(now, out.position());
            sentItems.forEach(item -> item.remainingSends--);
            updates.removeExhausted();
        }
        return true;
    }

    /** Rows, in sections of one stamp each; those that do not fit are left out. */
    private void putMemberEntries(long now, List<Integer> ranks, int maxBytes) {
        int start = 0;
        while (start < ranks.size()) {
            int fingerprint = members.fingerprints[ranks.get(start)];
            int capacity =
                    (GossipDatagram.availableBytes(out, maxBytes) - Integer.BYTES)
                            / GossipDatagram.MEMBER_ENTRY_BYTES;
            int end = start;
            while (end < ranks.size()
                    && end - start < capacity
                    && members.fingerprints[ranks.get(end)] == fingerprint) {
                end++;
            }
            if (end == start) {
                return;
            }
            out.put((byte) GossipDatagram.MEMBER_ENTRIES)
                    .put((byte) (Integer.BYTES + GossipDatagram.MEMBER_ENTRY_BYTES * (end - start)))
                    .putInt(fingerprint);
            for (; start < end; start++) {
                int rank = ranks.get(start);
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
        }
    }

    private void putClaim(int type, int rank, long incarnation, int reportedBy) {
        if (GossipDatagram.availableBytes(out, GossipDatagram.MAX_BYTES)
                < GossipDatagram.CLAIM_BYTES) {
            return;
        }
        out.put((byte) type).put((byte) GossipDatagram.CLAIM_BYTES).putShort((short) rank);
        GossipDatagram.putU48(out, incarnation);
        out.putShort((short) reportedBy);
    }

    private boolean send(long now, int to) {
        int length = GossipDatagram.finish(out);
        if (!bandwidthLimiter.tryConsume(now, length)) {
            counters.rateLimited++;
            return false;
        }
        counters.sent++;
        counters.sentBytes += length;
        actions.send(to, out.array(), length);
        return true;
    }

    /**
     * Up to so many others that are not known to be away, drawn; {@code excluded}: not this one.
     */
    private List<Integer> pickPeers(int maxCount, int excluded) {
        List<Integer> picked = new ArrayList<>(maxCount);
        int start = probeOrder.length == 0 ? 0 : random.nextInt(probeOrder.length);
        // The order is drawn anew each time round; where to begin in it is drawn each time.
        int stride = probeOrder.length < 3 ? 1 : 1 + random.nextInt(probeOrder.length - 1);
        while (gcd(stride, probeOrder.length) > 1) {
            stride = stride % (probeOrder.length - 1) + 1;
        }
        for (int i = 0; i < probeOrder.length && picked.size() < maxCount; i++) {
            int rank = probeOrder[(int) ((start + (long) i * stride) % probeOrder.length)];
            MemberState state = members.state(rank);
            if (rank != excluded && (state.isParticipating() || state == MemberState.UNKNOWN)) {
                picked.add(rank);
            }
        }
        return picked;
    }

    private static int gcd(int a, int b) {
        return b == 0 ? a : gcd(b, a % b);
    }

    private void storeVersions(long now, int fingerprint, AppliedVersions stamp) {
        if (versionsByFingerprint.size() >= MAX_APPLIED_VERSIONS) {
            // Those that nobody acts on go first; one that is asked for again is told again.
            int unused =
                    versionsByFingerprint.keySet().stream()
                            .filter(candidate -> !isReferenced(candidate))
                            .findFirst()
                            .orElse(versionsByFingerprint.keySet().iterator().next());
            versionsByFingerprint.remove(unused);
        }
        versionsByFingerprint.put(fingerprint, stamp);
        listener.onAppliedVersions(now, fingerprint, stamp);
    }

    private boolean isReferenced(int fingerprint) {
        for (int memberFingerprint : members.fingerprints) {
            if (memberFingerprint == fingerprint) {
                return true;
            }
        }
        return false;
    }

    /** Says that this balancer ends, to a few; nothing is sent from then on. */
    public void leave(long now) {
        if (hasLeft) {
            return;
        }
        for (int to : pickPeers(FIRST_ROUND_FANOUT + NEXT_ROUND_FANOUT, NOBODY)) {
            begin(now, GossipDatagram.Kind.UPDATE, ++lastNonce, NOBODY);
            putClaim(GossipDatagram.LEFT, localRank, members.incarnations[localRank], localRank);
            send(now, to);
        }
        hasLeft = true;
    }

    // What is known.

    /** What is known of a balancer at a moment. */
    public MemberSnapshot snapshot(long now, int rank) {
        boolean isNeverReported = members.reportedAtNanos[rank] == MembershipTable.NEVER_NANOS;
        MemberState state =
                rank != localRank && isIsolated(now) ? MemberState.UNKNOWN : members.state(rank);
        int fingerprint = members.fingerprints[rank];
        long ageNanos =
                rank == localRank ? 0 : isNeverReported ? -1 : now - members.reportedAtNanos[rank];
        return new MemberSnapshot(
                rank,
                state,
                members.incarnations[rank],
                members.sequences[rank],
                fingerprint,
                versionsByFingerprint.get(fingerprint),
                ageNanos);
    }

    /** How many balancers the tier has. */
    public int memberCount() {
        return members.count;
    }

    /** This balancer's number. */
    public int rank() {
        return localRank;
    }

    /** Its incarnation now. */
    public long incarnation() {
        return members.incarnations[localRank];
    }

    /** What was sent and what was passed over so far. */
    public Counters counters() {
        return counters;
    }
}
