package frostrelay.gossip;

import java.nio.ByteBuffer;

/**
 * Reads the sections of a datagram in order and applies each to the corresponding state. Sections
 * of unknown types are ignored, and so are additional bytes at the end of known ones, so that
 * builds of different versions can read each other's datagrams.
 */
final class SectionReader {
    private static final int U8_MASK = 0xff;
    private static final int U16_MASK = 0xffff;
    private static final long U32_MASK = 0xffffffffL;

    private final MembershipTable members;
    private final Membership membership;
    private final FailureDetector failureDetector;
    private final AppliedVersionStore versions;
    private final UpdateDisseminator updates;
    private final GossipNode.Listener listener;
    private final GossipNode.Counters counters;

    SectionReader(
            MembershipTable members,
            Membership membership,
            FailureDetector failureDetector,
            AppliedVersionStore versions,
            UpdateDisseminator updates,
            GossipNode.Listener listener,
            GossipNode.Counters counters) {
        this.members = members;
        this.membership = membership;
        this.failureDetector = failureDetector;
        this.versions = versions;
        this.updates = updates;
        this.listener = listener;
        this.counters = counters;
    }

    /**
     * Reads all sections. Stops at a section whose length exceeds the datagram, which is counted as
     * damaged.
     *
     * @return whether the sender requests versions that the local member knows
     */
    boolean read(long now, GossipDatagram in) {
        boolean hasRequestedVersions = false;
        long queueingDelayNanos = 0;
        ByteBuffer unread = in.sections;
        while (unread.remaining() >= GossipDatagram.SECTION_HEADER_BYTES) {
            int code = unread.get() & U8_MASK;
            int length = unread.get() & U8_MASK;
            if (length > unread.remaining()) {
                counters.damaged++;
                return hasRequestedVersions;
            }
            ByteBuffer section = unread.slice(unread.position(), length);
            unread.position(unread.position() + length);
            SectionType type = SectionType.fromCode(code);
            if (type == SectionType.UPTIME && length >= Integer.BYTES) {
                queueingDelayNanos = readUptime(now, in, section);
            } else if (type == SectionType.VERSIONS_REQUEST) {
                hasRequestedVersions |= readVersionsRequest(now, section);
            } else if (type != null) {
                readSection(now, in, type, section);
            } else if (code >= PayloadProvider.FIRST_SECTION_TYPE) {
                listener.onPayload(
                        now, queueingDelayNanos, in.sender, in.incarnation, code, section);
            }
        }
        return hasRequestedVersions;
    }

    private void readSection(long now, GossipDatagram in, SectionType type, ByteBuffer section) {
        switch (type) {
            case MEMBER_ENTRIES -> readMemberEntries(now, in, section);
            case APPLIED_VERSIONS -> readAppliedVersions(now, section);
            case SUSPECT, DEAD, LEFT -> readClaim(now, type, section);
            case CACHE_UNAVAILABLE -> {
                while (section.remaining() >= GossipDatagram.CACHE_STATE_BYTES) {
                    listener.onCacheUnavailable(
                            now, in.sender, section.getLong(), section.getLong());
                }
            }
            case CACHE_RESTORED -> {
                while (section.remaining() >= GossipDatagram.CACHE_STATE_BYTES) {
                    listener.onCacheRestored(now, in.sender, section.getLong(), section.getLong());
                }
            }
            default -> {
                // UPTIME that is too short; VERSIONS_REQUEST is read by the caller.
            }
        }
    }

    private void readMemberEntries(long now, GossipDatagram in, ByteBuffer section) {
        if (section.remaining() < Integer.BYTES) {
            return;
        }
        int fingerprint = section.getInt();
        while (section.remaining() >= GossipDatagram.MEMBER_ENTRY_BYTES) {
            int rank = section.getShort() & U16_MASK;
            long incarnation = GossipDatagram.readU48(section);
            int sequence = section.getShort() & U16_MASK;
            long ageNanos = (section.get() & U8_MASK) * DatagramWriter.AGE_UNIT_NANOS;
            if (rank < members.count && membership.checkPlausible(now, incarnation)) {
                membership.applyEntry(
                        now, in.sender, rank, incarnation, sequence, fingerprint, ageNanos);
            }
        }
    }

    private void readAppliedVersions(long now, ByteBuffer section) {
        if (section.remaining() < AppliedVersions.BYTES) {
            return;
        }
        AppliedVersions content = AppliedVersions.read(section);
        int fingerprint = content.fingerprint();
        if (versions.contains(fingerprint)) {
            updates.recordDuplicate(Update.VersionsUpdate.key(fingerprint));
        } else {
            versions.add(now, fingerprint, content);
            updates.enqueueVersions(now, fingerprint);
        }
    }

    private void readClaim(long now, SectionType type, ByteBuffer section) {
        if (section.remaining() < GossipDatagram.CLAIM_BYTES) {
            return;
        }
        int rank = section.getShort() & U16_MASK;
        long incarnation = GossipDatagram.readU48(section);
        int reportedBy = section.getShort() & U16_MASK;
        if (rank < members.count
                && reportedBy < members.count
                && membership.checkPlausible(now, incarnation)) {
            membership.applyClaim(now, type, rank, incarnation, reportedBy);
        }
    }

    private boolean readVersionsRequest(long now, ByteBuffer section) {
        if (section.remaining() < Integer.BYTES) {
            return false;
        }
        int fingerprint = section.getInt();
        if (!versions.contains(fingerprint)) {
            return false;
        }
        updates.enqueueVersions(now, fingerprint);
        return true;
    }

    /** Returns how long the datagram was queued in transit, in nanoseconds. */
    private long readUptime(long now, GossipDatagram in, ByteBuffer section) {
        long uptimeMillis = section.getInt() & U32_MASK;
        long delayNanos =
                members.queueingDelayNanos(
                        now, in.sender, Incarnation.toUnixMillis(in.incarnation), uptimeMillis);
        if (failureDetector.isDirectAck(in)) {
            listener.onClockSample(
                    now,
                    in.sender,
                    in.incarnation,
                    failureDetector.probeSentAtNanos(),
                    uptimeMillis);
        }
        return delayNanos;
    }
}
