package frostrelay.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A builder that collects updates into one datagram. Members' entries are written after other
 * updates, so that those with equal fingerprints share a section; other modules' sections fill the
 * remaining space. The object is reused for each datagram.
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

    /** Adds an update if it fits. */
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
            // Counts a section per entry; bytes saved by sharing sections are left for the payload.
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

    /** Writes the collected updates and sends them; returns false if nothing was sent. */
    boolean send(long now, int destination) {
        entryRanks.sort(byFingerprint);
        writer.putMemberEntries(now, entryRanks, maxBytes);
        if (hasPayload) {
            writer.putPayload(now, destination, maxBytes);
        }
        return !sent.isEmpty() && writer.send(now, destination);
    }

    /** Returns the updates in the datagram. */
    List<Update> sent() {
        return sent;
    }
}
