package frostrelay.gossip;

/**
 * Sends pings, acks and requests for indirect probes. Pings and acks also carry information that
 * the receiver may lack: a claim about itself that it can refute, the sender's entry, requests for
 * unknown versions, changes of caches and other modules' sections. They also carry the entries of
 * all members in rotation, so that every member eventually receives what lost updates contained.
 */
final class ProbeWriter {
    /** Datagram length up to which members' entries are added. */
    private static final int ENTRY_FILL_BYTES = 102;

    /** Datagram length up to which other modules' sections are added. */
    private static final int PAYLOAD_FILL_BYTES = 134;

    private final GossipSettings settings;
    private final MembershipTable members;
    private final int localRank;
    private final AppliedVersionStore versions;
    private final CacheAvailability caches;
    private final DatagramWriter writer;
    private int nextFillRank;

    ProbeWriter(
            GossipSettings settings,
            MembershipTable members,
            int localRank,
            AppliedVersionStore versions,
            CacheAvailability caches,
            DatagramWriter writer) {
        this.settings = settings;
        this.members = members;
        this.localRank = localRank;
        this.versions = versions;
        this.caches = caches;
        this.writer = writer;
    }

    int nextNonce() {
        return writer.nextNonce();
    }

    /**
     * Pings a member.
     *
     * @param shouldFill whether to add other members' entries
     */
    void sendPing(long now, int to, int nonce, boolean shouldFill) {
        writer.begin(now, GossipDatagram.Kind.PING, nonce, GossipDatagram.NO_RANK);
        putSections(now, to, isSuspectedOrEnded(to));
        if (shouldFill) {
            putEntriesInRotation(now);
        }
        writer.send(now, to);
    }

    /** Answers a ping. */
    void sendAck(long now, GossipDatagram ping) {
        int to = ping.sender;
        writer.begin(now, GossipDatagram.Kind.ACK, ping.nonce, GossipDatagram.NO_RANK);
        putSections(now, to, isSuspectedOrEnded(to) || ping.incarnation < members.incarnations[to]);
        putEntriesInRotation(now);
        writer.send(now, to);
    }

    /** Requests that a peer ping a member that did not answer. */
    void sendPingRequest(long now, int helper, int nonce, int target) {
        writer.begin(now, GossipDatagram.Kind.PING_REQUEST, nonce, target);
        writer.send(now, helper);
    }

    /** Notifies the requester of an indirect probe that its target answered. */
    void sendIndirectAck(long now, int requester, int nonce, int target) {
        writer.begin(now, GossipDatagram.Kind.ACK, nonce, target);
        writer.putMemberEntry(now, target, GossipDatagram.MAX_BYTES);
        writer.send(now, requester);
    }

    private boolean isSuspectedOrEnded(int rank) {
        MemberState state = members.state(rank);
        return state == MemberState.SUSPECTED || state.hasEnded();
    }

    private void putSections(long now, int to, boolean shouldClaim) {
        if (shouldClaim) {
            // The receiver can refute only claims that it has received.
            SectionType type =
                    members.state(to) == MemberState.SUSPECTED
                            ? SectionType.SUSPECT
                            : SectionType.DEAD;
            writer.putClaim(type, to, members.incarnations[to], localRank);
        }
        writer.putMemberEntry(now, localRank, GossipDatagram.MAX_BYTES);
        putVersionsRequest(to);
        putNewerCacheStates(to);
        writer.putPayload(now, to, PAYLOAD_FILL_BYTES);
    }

    private void putVersionsRequest(int to) {
        int fingerprint = members.fingerprints[to];
        if (fingerprint != AppliedVersions.NO_FINGERPRINT
                && !versions.contains(fingerprint)
                && writer.availableBytes(GossipDatagram.MAX_BYTES) >= Integer.BYTES) {
            writer.putVersionsRequest(fingerprint);
        }
    }

    private void putNewerCacheStates(int to) {
        if (caches.isEmpty()) {
            return;
        }
        AppliedVersions peerVersions = versions.get(members.fingerprints[to]);
        if (peerVersions != null) {
            caches.writeNewerThan(peerVersions.listRevision(), writer);
        }
    }

    /** Adds members' entries in rotation, unless half of the bandwidth limit is already used. */
    private void putEntriesInRotation(long now) {
        if (writer.sendableBytes(now) < settings.maxBytesPerSecond() / 2) {
            return;
        }
        int first = nextFillRank;
        while (writer.availableBytes(ENTRY_FILL_BYTES) - Integer.BYTES
                >= GossipDatagram.MEMBER_ENTRY_BYTES) {
            if (shouldFillWith(nextFillRank)) {
                writer.putMemberEntry(now, nextFillRank, ENTRY_FILL_BYTES);
            }
            nextFillRank = (nextFillRank + 1) % members.count;
            if (nextFillRank == first) {
                return;
            }
        }
    }

    private boolean shouldFillWith(int rank) {
        return rank != localRank
                && members.fingerprints[rank] != AppliedVersions.NO_FINGERPRINT
                && members.state(rank) == MemberState.ALIVE;
    }
}
