package frostrelay.gossip;

/**
 * A change that {@link UpdateQueue} spreads among the members. An update refers to the state rather
 * than copying it where the current state at the time of sending is what matters.
 */
abstract sealed class Update {
    private static final int KIND_SHIFT = 40;
    private static final long PAYLOAD_KEY = 10L << KIND_SHIFT;

    /** How many more times it is to be sent. */
    int remainingSends;

    /** Position in the order of insertion into the queue; later ones are more urgent. */
    long order;

    private Update(int sends) {
        remainingSends = sends;
    }

    /** Identity in the queue: an update replaces an earlier one with the same key. */
    abstract long key();

    /** Bytes of the section's content, where it has a section of its own. */
    abstract int contentBytes();

    /** Adds the update to a datagram that has space for it. */
    abstract void writeTo(UpdateDatagram datagram);

    /** Whether it introduces a member: less urgent than a change of a known one. */
    boolean isNewMember() {
        return false;
    }

    private static long keyOf(SectionType type, long subject) {
        return (long) type.code() << KIND_SHIFT | subject;
    }

    /** The content behind a fingerprint. */
    static final class VersionsUpdate extends Update {
        private final int fingerprint;

        VersionsUpdate(int fingerprint, int sends) {
            super(sends);
            this.fingerprint = fingerprint;
        }

        static long key(int fingerprint) {
            return keyOf(SectionType.APPLIED_VERSIONS, fingerprint & 0xffffffffL);
        }

        @Override
        long key() {
            return key(fingerprint);
        }

        @Override
        int contentBytes() {
            return AppliedVersions.BYTES;
        }

        @Override
        void writeTo(UpdateDatagram datagram) {
            datagram.addAppliedVersions(fingerprint);
        }
    }

    /** A member's incarnation and what it applies, as they are at the time of sending. */
    static final class MemberUpdate extends Update {
        final int rank;
        final long incarnation;
        private final boolean isNewMember;

        MemberUpdate(int rank, long incarnation, boolean isNewMember, int sends) {
            super(sends);
            this.rank = rank;
            this.incarnation = incarnation;
            this.isNewMember = isNewMember;
        }

        static long key(int rank) {
            return keyOf(SectionType.MEMBER_ENTRIES, rank);
        }

        @Override
        long key() {
            return key(rank);
        }

        @Override
        int contentBytes() {
            return GossipDatagram.MEMBER_ENTRY_BYTES + Integer.BYTES;
        }

        @Override
        boolean isNewMember() {
            return isNewMember;
        }

        @Override
        void writeTo(UpdateDatagram datagram) {
            datagram.addMember(rank);
        }
    }

    /** A claim that a member is suspected, is dead or has left. */
    static final class ClaimUpdate extends Update {
        final SectionType type;
        final int rank;
        final long incarnation;
        private final int reportedBy;

        ClaimUpdate(SectionType type, int rank, long incarnation, int reportedBy, int sends) {
            super(sends);
            this.type = type;
            this.rank = rank;
            this.incarnation = incarnation;
            this.reportedBy = reportedBy;
        }

        /** Suspicions of several reporters stand side by side; the end of a member is one fact. */
        static long key(SectionType type, int rank, int reportedBy) {
            return type == SectionType.SUSPECT
                    ? keyOf(SectionType.SUSPECT, (long) rank << Short.SIZE | reportedBy)
                    : keyOf(SectionType.DEAD, rank);
        }

        @Override
        long key() {
            return key(type, rank, reportedBy);
        }

        @Override
        int contentBytes() {
            return GossipDatagram.CLAIM_BYTES;
        }

        @Override
        void writeTo(UpdateDatagram datagram) {
            datagram.addClaim(type, rank, incarnation, reportedBy);
        }
    }

    /** The state of a cache, as it is at the time of sending. */
    static final class CacheUpdate extends Update {
        private final long cache;

        CacheUpdate(long cache, int sends) {
            super(sends);
            this.cache = cache;
        }

        /** Caches that share the lower half of their number share an update. */
        @Override
        long key() {
            return keyOf(SectionType.CACHE_UNAVAILABLE, (int) cache & 0xffffffffL);
        }

        @Override
        int contentBytes() {
            return GossipDatagram.CACHE_STATE_BYTES;
        }

        @Override
        void writeTo(UpdateDatagram datagram) {
            datagram.addCacheState(cache);
        }
    }

    /** Sections of other modules have changed; they are written anew for each datagram. */
    static final class PayloadUpdate extends Update {
        PayloadUpdate(int sends) {
            super(sends);
        }

        @Override
        long key() {
            return PAYLOAD_KEY;
        }

        @Override
        int contentBytes() {
            return 0;
        }

        @Override
        void writeTo(UpdateDatagram datagram) {
            datagram.addPayload();
        }
    }
}
