package frostrelay.gossip;

/**
 * State transitions of the members. Each member is authoritative for its own entry, which is
 * ordered by its incarnation and the sequence number of its applied versions. Claims about other
 * members are forwarded, and the member concerned may refute them with a higher incarnation.
 */
final class Membership {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final GossipSettings settings;
    private final MembershipTable members;
    private final int localRank;
    private final SuspicionTable suspicions;
    private final LocalHealth localHealth;
    private final UpdateDisseminator updates;
    private final GossipNode.Listener listener;
    private final GossipNode.Counters counters;
    private final long startedAtNanos;
    private final long startIncarnation;
    private long lastReceivedAtNanos;

    Membership(
            GossipSettings settings,
            long now,
            int localRank,
            MembershipTable members,
            SuspicionTable suspicions,
            LocalHealth localHealth,
            UpdateDisseminator updates,
            GossipNode.Listener listener,
            GossipNode.Counters counters) {
        this.settings = settings;
        this.members = members;
        this.localRank = localRank;
        this.suspicions = suspicions;
        this.localHealth = localHealth;
        this.updates = updates;
        this.listener = listener;
        this.counters = counters;
        startedAtNanos = now;
        startIncarnation = members.incarnations[localRank];
        lastReceivedAtNanos = now;
    }

    /** Returns whether nothing was received from any peer within the isolation timeout. */
    boolean isIsolated(long now) {
        return now - lastReceivedAtNanos >= settings.isolationTimeoutNanos();
    }

    /** Returns whether an incarnation is plausible, and counts implausible ones. */
    boolean checkPlausible(long now, long incarnation) {
        boolean isPlausible =
                Incarnation.isPlausible(
                        incarnation, startIncarnation, (now - startedAtNanos) / NANOS_PER_MILLI);
        if (!isPlausible) {
            counters.implausible++;
        }
        return isPlausible;
    }

    /** Records a datagram from a peer, which proves that it is alive. */
    void recordContact(long now, int from, long incarnation) {
        lastReceivedAtNanos = now;
        members.lastDatagramAtNanos[from] = now;
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
                // Another process, whose applied versions are not known yet.
                members.fingerprints[rank] = AppliedVersions.NO_FINGERPRINT;
                members.sequences[rank] = 0;
                members.reportedAtNanos[rank] = MembershipTable.NEVER_NANOS;
            }
            members.incarnations[rank] = incarnation;
        }
        members.missedProbes[rank] = 0;
        suspicions.remove(rank);
        boolean wasAlive = members.state(rank) == MemberState.ALIVE;
        if (!wasAlive || isNewIncarnation) {
            members.state(rank, MemberState.ALIVE);
            listener.onMemberState(now, rank, incarnation, MemberState.ALIVE, reportedBy);
        }
        updates.enqueueMember(now, rank, incarnation, isNewMember);
    }

    /**
     * Applies an entry from a peer; refutes an entry of the local rank with a later incarnation.
     */
    void applyEntry(
            long now,
            int reportedBy,
            int rank,
            long incarnation,
            int sequence,
            int fingerprint,
            long ageNanos) {
        if (rank == localRank) {
            if (incarnation > members.incarnations[localRank]) {
                refute(now, incarnation);
            }
            return;
        }
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
            updates.enqueueMember(now, rank, incarnation, isFirst);
        } else if (sequence == members.sequences[rank]) {
            updates.recordDuplicate(Update.MemberUpdate.key(rank));
            members.reportedAtNanos[rank] = Math.max(members.reportedAtNanos[rank], now - ageNanos);
        }
    }

    /** Applies a claim from a peer; refutes a claim about the local member. */
    void applyClaim(long now, SectionType type, int rank, long incarnation, int reportedBy) {
        if (rank == localRank) {
            if (incarnation >= members.incarnations[localRank]) {
                refute(now, incarnation);
            }
            return;
        }
        if (incarnation < members.incarnations[rank]) {
            return;
        }
        if (incarnation > members.incarnations[rank]) {
            members.incarnations[rank] = incarnation;
            members.fingerprints[rank] = AppliedVersions.NO_FINGERPRINT;
        }
        switch (type) {
            case SUSPECT -> suspect(now, rank, reportedBy);
            case DEAD -> markEnded(now, rank, MemberState.GONE, reportedBy);
            default -> markEnded(now, rank, MemberState.LEFT, reportedBy);
        }
    }

    /** Adopts an incarnation higher than the given one, and announces it. */
    private void refute(long now, long incarnation) {
        counters.refutations++;
        boolean isOfThisProcess =
                Incarnation.toUnixMillis(incarnation)
                        == Incarnation.toUnixMillis(members.incarnations[localRank]);
        members.incarnations[localRank] =
                isOfThisProcess
                        ? Incarnation.next(incarnation)
                        : Incarnation.nextStartAfter(incarnation);
        // Lifeguard: being suspected indicates that this process is slow.
        localHealth.degrade();
        listener.onLocalIncarnation(now, members.incarnations[localRank]);
        announceLocalState(now);
    }

    /** Announces the local member's applied versions and incarnation. */
    void announceLocalState(long now) {
        updates.enqueueVersions(now, members.fingerprints[localRank]);
        updates.enqueueMember(now, localRank, members.incarnations[localRank], false);
    }

    /** Suspects a member, or adds a reporter to its suspicion. */
    void suspect(long now, int rank, int reportedBy) {
        if (members.state(rank).hasEnded()) {
            return;
        }
        SuspicionTable.Suspicion suspicion = suspicions.find(rank);
        if (suspicion == null) {
            suspicion = suspicions.add(now, rank, members.incarnations[rank]);
            members.state(rank, MemberState.SUSPECTED);
            counters.suspicions++;
            listener.onMemberState(
                    now, rank, suspicion.incarnation, MemberState.SUSPECTED, reportedBy);
        }
        if (suspicion.addReporter(reportedBy)) {
            updates.enqueueClaim(now, SectionType.SUSPECT, rank, suspicion.incarnation, reportedBy);
        } else {
            updates.recordDuplicate(Update.ClaimUpdate.key(SectionType.SUSPECT, rank, reportedBy));
        }
    }

    /** Declares dead the members that did not refute their suspicion in time. */
    void endExpiredSuspicions(long now) {
        for (SuspicionTable.Suspicion suspicion : suspicions.snapshot()) {
            if (suspicions.hasExpired(now, suspicion)) {
                markEnded(now, suspicion.rank, MemberState.GONE, localRank);
            }
        }
    }

    private void markEnded(long now, int rank, MemberState state, int reportedBy) {
        SectionType type = state == MemberState.LEFT ? SectionType.LEFT : SectionType.DEAD;
        if (members.state(rank).hasEnded()) {
            updates.recordDuplicate(Update.ClaimUpdate.key(type, rank, reportedBy));
            return;
        }
        suspicions.remove(rank);
        members.state(rank, state);
        listener.onMemberState(now, rank, members.incarnations[rank], state, reportedBy);
        updates.enqueueClaim(now, type, rank, members.incarnations[rank], reportedBy);
    }
}
