package frostrelay.audit;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

/**
 * One entry of a balancer's record. {@code atNanos} counts from the start of its incarnation on its
 * monotonic clock; wall clocks are in Unix milliseconds and may jump. Immutable, provided that the
 * arrays of {@link SendCounts} are not modified.
 */
public sealed interface Entry {
    /** Returns the time of recording. */
    long atNanos();

    /**
     * The start of the incarnation. {@code rank}: its number among its peers, -1 if it has none.
     */
    record Started(
            long atNanos, String name, int rank, long incarnation, int build, long wallMillis)
            implements Entry {}

    /**
     * A change of the versions that the balancer acts on. {@code sequence}: the number of earlier
     * changes in this incarnation.
     */
    record VersionsApplied(
            long atNanos, int sequence, Cause cause, long wallMillis, AppliedVersions versions)
            implements Entry {}

    /** The number that identifies a cache in later entries. */
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
     * One send; recorded only if operators enabled entries for single sends. {@code requestId}: the
     * id given by the client.
     */
    record AttemptSent(long atNanos, int sequence, int cache, int attempt, String requestId)
            implements Entry {}

    /**
     * A peer's report that it acts on other versions; {@code ageNanos}: time since the peer wrote
     * the report.
     */
    record PeerVersionsHeard(
            long atNanos, int rank, long incarnation, int sequence, int versionsRef, long ageNanos)
            implements Entry {}

    /** A change of a peer's state as seen by this balancer. */
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
     * A jump of the wall clock against the monotonic clock since the last such entry or the start.
     */
    record WallClockJumped(long atNanos, long jumpMillis) implements Entry {}

    /**
     * A change of the balancer's own incarnation, because it was reported dead or because peers
     * know a later incarnation of the same name.
     */
    record IncarnationChanged(long atNanos, long incarnation) implements Entry {}

    /** A rejected update, usually a configuration; {@code reason}: a description for operators. */
    record UpdateRejected(long atNanos, String reason) implements Entry {}

    /**
     * Entries lost at this point, the first at {@code fromNanos}, because the buffer was full or
     * the disk rejected them.
     */
    record Gap(long atNanos, long fromNanos, long lostEntries, String reason) implements Entry {}

    /** The end of a {@link Preamble}: the entries before this one repeat older ones. */
    record Resumed(long atNanos) implements Entry {}

    /** A shutdown: the last entry of an incarnation. */
    record Stopped(long atNanos) implements Entry {}
}
