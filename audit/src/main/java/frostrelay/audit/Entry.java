package frostrelay.audit;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

/**
 * One entry of a balancer's record. {@code atNanos}: nanoseconds since this life of it began, on
 * its monotonic clock, which does not jump; wall clocks are in Unix milliseconds and may.
 * Immutable.
 */
public sealed interface Entry {
    /** When it was entered. */
    long atNanos();

    /** A life begins. {@code rank}: its number among its peers, -1 where it has none. */
    record Started(
            long atNanos, String name, int rank, long incarnation, int build, long wallMillis)
            implements Entry {}

    /**
     * From now on it acts on this. {@code sequence}: how often that had changed before in this
     * life.
     */
    record VersionsApplied(
            long atNanos, int sequence, Cause cause, long wallMillis, AppliedVersions versions)
            implements Entry {}

    /** A cache goes by a number from now on, for the entries behind this one. */
    record CacheNamed(long atNanos, int cache, String uid) implements Entry {}

    /**
     * What its list says of a cache from now on: {@code ready}, or not to be used. Entered before
     * the {@link VersionsApplied}.
     */
    record EndpointListed(long atNanos, int cache, boolean ready, long serverStartMillis)
            implements Entry {}

    /**
     * Sends that were written since the last such entry, under one stamp; {@code caches} and {@code
     * sends} go together.
     */
    record SendCounts(
            long atNanos,
            int sequence,
            int hedgedRequests,
            int rejectedRequests,
            int failedRequests,
            int[] caches,
            int[] sends)
            implements Entry {}

    /**
     * One send, where operators want them one by one. {@code requestId}: the request's, as its
     * client gave it.
     */
    record AttemptSent(long atNanos, int sequence, int cache, int attempt, String requestId)
            implements Entry {}

    /**
     * It knows from now on that another acts on something else; {@code ageNanos}: nanoseconds since
     * that one said so.
     */
    record PeerVersionsHeard(
            long atNanos, int rank, long incarnation, int sequence, int versionsRef, long ageNanos)
            implements Entry {}

    /** What it believes of another has changed. */
    record PeerStateChanged(
            long atNanos, int rank, long incarnation, MemberState state, int reportedBy)
            implements Entry {}

    /**
     * Another's life was {@code peerUnixMillis} old at some moment between {@code sentAtNanos} and
     * {@code atNanos}.
     */
    record PeerClockSampled(
            long atNanos, int rank, long incarnation, long sentAtNanos, long peerUnixMillis)
            implements Entry {}

    /**
     * Its wall clock has moved by this against its monotonic one since the last such entry or the
     * start.
     */
    record WallClockJumped(long atNanos, long jumpMillis) implements Entry {}

    /**
     * Its own incarnation has changed: it was called dead, or another life of its name is known.
     */
    record IncarnationChanged(long atNanos, long incarnation) implements Entry {}

    /** Something that could not be taken, in words: a configuration, mostly. */
    record UpdateRejected(long atNanos, String reason) implements Entry {}

    /**
     * Entries that are missing here, and from when on they are: room had run out, or a disk refused
     * them.
     */
    record Gap(long atNanos, long fromNanos, long lostEntries, String reason) implements Entry {}

    /**
     * What stands before this repeats older entries, so that those behind it can be understood by
     * themselves.
     */
    record Resumed(long atNanos) implements Entry {}

    /** It ended in order. What comes behind is another life's. */
    record Stopped(long atNanos) implements Entry {}
}
