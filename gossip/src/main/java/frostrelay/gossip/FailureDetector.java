package frostrelay.gossip;

/**
 * A SWIM failure detector. Probes one member per period: pings it, retries, then requests indirect
 * probes from other members. A member that does not answer in several consecutive periods is
 * suspected.
 */
final class FailureDetector {
    private static final int INDIRECT_PROBE_PEERS = 3;

    /** Pings per period; at 30% loss, all of them fail in 15 of 1,000 periods. */
    private static final int MAX_PROBE_ATTEMPTS = 5;

    /** Zero-based index of the attempt at which indirect probes are requested. */
    private static final int INDIRECT_PROBE_ATTEMPT = 2;

    /** Interval, in periods, of probes of dead members, which detect a healed partition. */
    private static final int DEAD_MEMBER_PROBE_INTERVAL = 5;

    private final GossipSettings settings;
    private final MembershipTable members;
    private final int localRank;
    private final Membership membership;
    private final PeerSelector peers;
    private final ProbeWriter probes;
    private final IndirectProbeRelay relay;
    private final LocalHealth localHealth;
    private int nextProbeIndex;
    private int periodCount;
    private long nextPeriodAtNanos;
    private long nextAttemptAtNanos = GossipNode.NEVER_NANOS;
    private int target = GossipDatagram.NO_RANK;
    private int nonce;
    private int attempt;
    private long sentAtNanos;

    FailureDetector(
            GossipSettings settings,
            MembershipTable members,
            int localRank,
            Membership membership,
            PeerSelector peers,
            ProbeWriter probes,
            LocalHealth localHealth,
            long firstPeriodAtNanos) {
        this.settings = settings;
        this.members = members;
        this.localRank = localRank;
        this.membership = membership;
        this.peers = peers;
        this.probes = probes;
        this.localHealth = localHealth;
        relay = new IndirectProbeRelay(settings, members, localRank, probes);
        nextPeriodAtNanos = firstPeriodAtNanos;
    }

    /** Returns the time at which {@link #onTimer} is to be called next. */
    long nextTimerAtNanos() {
        return Math.min(nextPeriodAtNanos, nextAttemptAtNanos);
    }

    /** Cancels the current probe, whose missing answer may be due to the pause of this process. */
    void onPause(long now) {
        localHealth.degrade();
        clearTarget();
        nextPeriodAtNanos = Math.max(nextPeriodAtNanos, now);
    }

    /** Ends the period or sends the next attempt, if it is due. */
    void onTimer(long now) {
        if (now >= nextPeriodAtNanos) {
            finishPeriod(now);
            nextPeriodAtNanos =
                    Math.max(
                            nextPeriodAtNanos + settings.probePeriodNanos(),
                            now + settings.probePeriodNanos() / 2);
            startProbe(now);
        } else if (now >= nextAttemptAtNanos) {
            sendAttempt(now);
        }
    }

    /** Answers a ping. */
    void onPing(long now, GossipDatagram ping) {
        probes.sendAck(now, ping);
    }

    /** Handles a request of a peer to ping a member. */
    void onPingRequest(long now, GossipDatagram request) {
        relay.onRequest(now, request);
    }

    /** Completes the current probe, or forwards the ack to the peer that requested the ping. */
    void onAck(long now, GossipDatagram ack) {
        if (relay.onAck(now, ack, nonce)) {
            return;
        }
        boolean isIndirect = ack.subject == target;
        if (target != GossipDatagram.NO_RANK
                && ack.nonce == nonce
                && (isDirectAnswer(ack) || isIndirect)) {
            members.missedProbes[target] = 0;
            clearTarget();
            localHealth.improve();
        }
    }

    /** Returns whether a datagram is an ack of the current probe from the target itself. */
    boolean isDirectAck(GossipDatagram in) {
        return in.kind == GossipDatagram.Kind.ACK && in.nonce == nonce && isDirectAnswer(in);
    }

    private boolean isDirectAnswer(GossipDatagram in) {
        return in.sender == target && in.subject == GossipDatagram.NO_RANK;
    }

    /** Returns the time at which the current probe began. */
    long probeSentAtNanos() {
        return sentAtNanos;
    }

    private void clearTarget() {
        target = GossipDatagram.NO_RANK;
        nextAttemptAtNanos = GossipNode.NEVER_NANOS;
    }

    private void finishPeriod(long now) {
        if (target == GossipDatagram.NO_RANK) {
            return;
        }
        int unanswered = target;
        clearTarget();
        if (!members.state(unanswered).isParticipating()
                || members.lastDatagramAtNanos[unanswered] >= sentAtNanos) {
            return;
        }
        if (membership.isIsolated(now)) {
            // An isolated member has no evidence against any other member.
            localHealth.degrade();
        } else if (++members.missedProbes[unanswered] >= settings.missedProbesToSuspect()) {
            members.missedProbes[unanswered] = 0;
            membership.suspect(now, unanswered, localRank);
        }
    }

    private void startProbe(long now) {
        if (peers.count() == 0) {
            return;
        }
        periodCount++;
        target = chooseTarget();
        if (target == GossipDatagram.NO_RANK) {
            return;
        }
        nonce = probes.nextNonce();
        sentAtNanos = now;
        attempt = 0;
        sendAttempt(now);
    }

    /**
     * Returns a member that missed a probe, if any, else the next one in random order as in SWIM.
     */
    private int chooseTarget() {
        for (int i = 0; i < peers.count(); i++) {
            int rank = peers.rankAt(i);
            if (members.missedProbes[rank] > 0 && members.state(rank) == MemberState.ALIVE) {
                return rank;
            }
        }
        for (int i = 0; i < peers.count(); i++) {
            if (nextProbeIndex >= peers.count()) {
                peers.shuffle();
                nextProbeIndex = 0;
            }
            int rank = peers.rankAt(nextProbeIndex++);
            if (isDue(members.state(rank))) {
                return rank;
            }
        }
        return GossipDatagram.NO_RANK;
    }

    /**
     * Returns whether a member may be probed in this period. Participating members always may; all
     * others only every {@link #DEAD_MEMBER_PROBE_INTERVAL} periods, except that unknown members
     * also may in the first {@code 2 * peers.count()} periods.
     */
    private boolean isDue(MemberState state) {
        return state.isParticipating()
                || periodCount % DEAD_MEMBER_PROBE_INTERVAL == 0
                || state == MemberState.UNKNOWN && periodCount <= 2 * peers.count();
    }

    private void sendAttempt(long now) {
        long retryNanos = settings.probeRetryNanos() * localHealth.timeoutMultiplier();
        probes.sendPing(now, target, nonce, attempt == 0);
        if (attempt == INDIRECT_PROBE_ATTEMPT) {
            for (int helper : peers.pick(INDIRECT_PROBE_PEERS, target)) {
                probes.sendPingRequest(now, helper, nonce, target);
            }
        }
        attempt++;
        nextAttemptAtNanos =
                attempt < MAX_PROBE_ATTEMPTS && now + retryNanos < nextPeriodAtNanos
                        ? now + retryNanos
                        : GossipNode.NEVER_NANOS;
    }
}
