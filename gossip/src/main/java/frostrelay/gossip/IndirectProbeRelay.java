package frostrelay.gossip;

import java.util.LinkedHashMap;
import java.util.Map;

/** A relay that pings members on request of peers and forwards the acks to these peers. */
final class IndirectProbeRelay {
    private static final int MAX_PENDING = 64;

    private record PendingRequest(int requester, int nonce, long expiresAtNanos) {}

    private final GossipSettings settings;
    private final MembershipTable members;
    private final int localRank;
    private final ProbeWriter probes;
    private final Map<Integer, PendingRequest> requestsByNonce = new LinkedHashMap<>();

    IndirectProbeRelay(
            GossipSettings settings, MembershipTable members, int localRank, ProbeWriter probes) {
        this.settings = settings;
        this.members = members;
        this.localRank = localRank;
        this.probes = probes;
    }

    /** Pings the subject of a request; ignores the request if too many are pending. */
    void onRequest(long now, GossipDatagram request) {
        int target = request.subject;
        if (target >= members.count || target == localRank || target == request.sender) {
            return;
        }
        requestsByNonce.values().removeIf(pending -> now > pending.expiresAtNanos);
        if (requestsByNonce.size() >= MAX_PENDING) {
            return;
        }
        int nonce = probes.nextNonce();
        requestsByNonce.put(
                nonce,
                new PendingRequest(
                        request.sender, request.nonce, now + settings.probePeriodNanos()));
        probes.sendPing(now, target, nonce, false);
    }

    /**
     * Forwards an ack if it answers a pending request, which is then complete.
     *
     * @param localNonce of the local member's own probe, whose acks are never forwarded
     * @return whether the ack was forwarded
     */
    boolean onAck(long now, GossipDatagram ack, int localNonce) {
        PendingRequest pending = requestsByNonce.remove(ack.nonce);
        if (pending == null || ack.subject != GossipDatagram.NO_RANK || ack.nonce == localNonce) {
            return false;
        }
        probes.sendIndirectAck(now, pending.requester, pending.nonce, ack.sender);
        return true;
    }
}
