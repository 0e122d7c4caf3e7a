package frostrelay.gossip;

/**
 * A change to be disseminated to the members, held in {@link UpdateQueue}. An update that must
 * carry the state at the time of sending refers to that state rather than copying it.
 */
abstract sealed class Update {
    private static final int KIND_SHIFT = 40;
    private static final long PAYLOAD_KEY = 10L << KIND_SHIFT;

    /** Number of sends still to be made. */
    int remainingSends;

    /** Position in the order of insertion into the queue; a later update is more urgent. */
    long order;

    private Update(int sends) {
        remainingSends = sends;
    }

    /** Returns the identity in the queue: an update replaces an earlier one with the same key. */
    abstract long key();

    /** Returns the content length of the update's own section; 0 if it has none. */
    abstract int contentBytes();

    /** Adds the update to a datagram that has space for it. */
    abstract void writeTo(UpdateDatagram datagram);

    /** Returns whether this introduces a member, which is less urgent than other changes. */
    boolean isNewMember() {
        return false;
    }

    private static long keyOf(SectionType type, long subject) {
        return (long) type.code() << KIND_SHIFT | subject;
    }

    /** The applied versions that have a given fingerprint. */
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

    /** A member's incarnation and applied versions, as known at the time of sending. */
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

        /** Returns one key per reporter for suspicions; death and leaving share one per member. */
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

    /** The state of a cache, as known at the time of sending. */
    static final class CacheUpdate extends Update {
        private final long cache;

        CacheUpdate(long cache, int sends) {
            super(sends);
            this.cache = cache;
        }

        /** Returns a key of the lower 32 bits of the cache's number, which caches may share. */
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

    /** A change of other modules' sections, which are rewritten for each datagram. */
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
