package frostrelay.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Collects updates into one datagram. Members' entries are written last, so that those with equal
 * fingerprints share a section, and other modules' sections fill what is left. Used again for each
 * datagram.
 */
final class UpdateDatagram {
    private final MembershipTable members;
    private final DatagramWriter writer;
    private final AppliedVersionStore versions;
    private final CacheAvailability caches;
    private final Comparator<Integer> byFingerprint;
    private final List<Update> sent = new ArrayList<>();
    private final List<Integer> entryRanks = new ArrayList<>();
    private int maxBytes;
    private int entryBytes;
    private boolean hasPayload;

    UpdateDatagram(
            MembershipTable members,
            DatagramWriter writer,
            AppliedVersionStore versions,
            CacheAvailability caches) {
        this.members = members;
        this.writer = writer;
        this.versions = versions;
        this.caches = caches;
        byFingerprint = (a, b) -> Integer.compare(members.fingerprints[a], members.fingerprints[b]);
    }

    void begin(long now, int totalBytes) {
        writer.begin(now, GossipDatagram.Kind.UPDATE, writer.nextNonce(), GossipDatagram.NO_RANK);
        maxBytes = totalBytes;
        sent.clear();
        entryRanks.clear();
        entryBytes = 0;
        hasPayload = false;
    }

    /** Adds an update where there is space for it. */
    void add(Update update) {
        if (writer.availableBytes(maxBytes) - entryBytes < update.contentBytes()) {
            return;
        }
        update.writeTo(this);
        sent.add(update);
    }

    void addAppliedVersions(int fingerprint) {
        AppliedVersions content = versions.get(fingerprint);
        if (content != null) {
            writer.putAppliedVersions(content);
        }
    }

    void addMember(int rank) {
        if (members.fingerprints[rank] != AppliedVersions.NO_FINGERPRINT) {
            entryRanks.add(rank);
            // As if it had a section of its own: what sharing one saves is left for payload.
            entryBytes +=
                    GossipDatagram.SECTION_HEADER_BYTES
                            + Integer.BYTES
                            + GossipDatagram.MEMBER_ENTRY_BYTES;
        }
    }

    void addClaim(SectionType type, int rank, long incarnation, int reportedBy) {
        writer.putClaim(type, rank, incarnation, reportedBy);
    }

    void addCacheState(long cache) {
        CacheAvailability.CacheState state = caches.get(cache);
        if (state != null) {
            writer.putCacheState(cache, state);
        }
    }

    void addPayload() {
        hasPayload = true;
    }

    /** Writes what was collected and sends it; false where nothing was sent. */
    boolean send(long now, int destination) {
        entryRanks.sort(byFingerprint);
        writer.putMemberEntries(now, entryRanks, maxBytes);
        if (hasPayload) {
            writer.putPayload(now, destination, maxBytes);
        }
        return !sent.isEmpty() && writer.send(now, destination);
    }

    /** The updates in the datagram. */
    List<Update> sent() {
        return sent;
    }
}
