package frostrelay.audit;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

/**
 * One entry of a balancer's record. {@code atNanos} counts from the start of its incarnation on its
 * monotonic clock; wall clocks are in Unix milliseconds and may jump. Immutable, if the arrays of
 * {@link SendCounts} are left alone.
 */
public sealed interface Entry {
    /** When it was recorded. */
    long atNanos();

    /** The incarnation starts. {@code rank}: its number among its peers, -1 if it has none. */
    record Started(
            long atNanos, String name, int rank, long incarnation, int build, long wallMillis)
            implements Entry {}

    /**
     * From now on it acts on these versions. {@code sequence}: how often they had changed before in
     * this incarnation.
     */
    record VersionsApplied(
            long atNanos, int sequence, Cause cause, long wallMillis, AppliedVersions versions)
            implements Entry {}

    /** A number stands for a cache in the entries after this one. */
    record CacheNamed(long atNanos, int cache, String uid) implements Entry {}

    /**
     * State of a cache in a new endpoint list: {@code ready}, or not to be used. Recorded before
     * the {@link VersionsApplied} of that list.
     */
    record EndpointListed(long atNanos, int cache, boolean ready, long serverStartMillis)
            implements Entry {}

    /**
     * Sends since the last such entry under the versions of {@code sequence}: {@code sends[i]} to
     * {@code caches[i]}.
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
     * One send, if operators have them recorded one by one. {@code requestId}: as the client gave
     * it.
     */
    record AttemptSent(long atNanos, int sequence, int cache, int attempt, String requestId)
            implements Entry {}

    /**
     * It has learned that a peer acts on other versions; {@code ageNanos}: time since that peer
     * wrote so.
     */
    record PeerVersionsHeard(
            long atNanos, int rank, long incarnation, int sequence, int versionsRef, long ageNanos)
            implements Entry {}

    /** The state of a peer, as this balancer sees it, has changed. */
    record PeerStateChanged(
            long atNanos, int rank, long incarnation, MemberState state, int reportedBy)
            implements Entry {}

    /**
     * A peer's incarnation was {@code peerUnixMillis} milliseconds old at some moment between
     * {@code sentAtNanos} and {@code atNanos}.
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
     * Its own incarnation has changed: it was reported dead, or a later one of its name is known.
     */
    record IncarnationChanged(long atNanos, long incarnation) implements Entry {}

    /** A rejected update, mostly a configuration; {@code reason}: in words. */
    record UpdateRejected(long atNanos, String reason) implements Entry {}

    /**
     * Entries missing here, from {@code fromNanos} on: the buffer was full, or the disk rejected
     * them.
     */
    record Gap(long atNanos, long fromNanos, long lostEntries, String reason) implements Entry {}

    /** Ends a {@link Preamble}: the entries before this one repeat older ones. */
    record Resumed(long atNanos) implements Entry {}

    /** A shutdown: the last entry of an incarnation. */
    record Stopped(long atNanos) implements Entry {}
}
