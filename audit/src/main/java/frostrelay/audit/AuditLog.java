package frostrelay.audit;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.GossipNode;
import frostrelay.gossip.MemberState;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Records the versions that one incarnation of a balancer acts on, its sends and the messages of
 * its peers. A send costs two additions and no allocation unless sends are recorded one by one. Not
 * thread-safe; times are nanoseconds of the balancer's monotonic clock.
 */
public final class AuditLog implements GossipNode.Listener {
    /** A smaller change of the wall clock against the monotonic clock is slewing, not a jump. */
    private static final long CLOCK_JUMP_MILLIS = 250;

    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    private final Recorder recorder;
    private final boolean recordsEachSend;
    private final long startNanos;
    private long wallOffsetMillis;
    private final Map<String, Integer> cacheNumbers = new HashMap<>();
    private int[] sendsByCache = new int[64];
    private int hedgedRequests;
    private int rejectedRequests;
    private int failedRequests;
    private int sequence;
    private AppliedVersions appliedVersions;
    private long appliedAtNanos;
    private Cause cause = Cause.START;

    /**
     * Creates the log and records the start of the incarnation.
     *
     * @param recordsEachSend true to write one entry per send in addition to the counts
     * @param wallMillis Unix milliseconds
     * @param rank this balancer's number among its peers, -1 if it has none
     * @param incarnation this balancer's incarnation
     */
    public AuditLog(
            Recorder recorder,
            boolean recordsEachSend,
            long now,
            long wallMillis,
            String name,
            int rank,
            long incarnation,
            AppliedVersions initialVersions) {
        this.recorder = recorder;
        this.recordsEachSend = recordsEachSend;
        this.startNanos = now;
        this.appliedAtNanos = now;
        this.appliedVersions = initialVersions;
        this.wallOffsetMillis = wallMillis;
        recorder.append(
                new Entry.Started(
                        0, name, rank, incarnation, initialVersions.buildDigest(), wallMillis));
        recorder.append(new Entry.VersionsApplied(0, 0, Cause.START, wallMillis, initialVersions));
    }

    /** Returns the number that identifies a cache in this record; records its name on first use. */
    public int cacheNumber(long now, String uid) {
        Integer known = cacheNumbers.get(uid);
        if (known != null) {
            return known;
        }
        int number = cacheNumbers.size();
        cacheNumbers.put(uid, number);
        if (number == sendsByCache.length) {
            sendsByCache = Arrays.copyOf(sendsByCache, 2 * number);
        }
        recorder.append(new Entry.CacheNamed(now - startNanos, number, uid));
        return number;
    }

    /** Records an endpoint of a new list; to be called before {@link #recordVersionsApplied}. */
    public void recordEndpoint(long now, int cache, boolean ready, long serverStartMillis) {
        recorder.append(
                new Entry.EndpointListed(now - startNanos, cache, ready, serverStartMillis));
    }

    /** Records that decisions use these versions from now on; ignores unchanged versions. */
    public void recordVersionsApplied(
            long now, long wallMillis, AppliedVersions newVersions, Cause newCause) {
        if (newVersions.equals(appliedVersions)) {
            return;
        }
        flush(now);
        appliedVersions = newVersions;
        cause = newCause;
        appliedAtNanos = now;
        sequence++;
        recorder.append(
                new Entry.VersionsApplied(
                        now - startNanos, sequence, newCause, wallMillis, newVersions));
    }

    /** Returns the number of changes of the applied versions since the start. */
    public int sequence() {
        return sequence;
    }

    /** Returns the versions currently applied. */
    public AppliedVersions appliedVersions() {
        return appliedVersions;
    }

    /** Returns when the current versions were applied, in nanoseconds of the monotonic clock. */
    public long appliedAtNanos() {
        return appliedAtNanos;
    }

    /** Returns why the current versions were applied. */
    public Cause cause() {
        return cause;
    }

    /**
     * Records that an attempt was written to a cache.
     *
     * @param decidedSequence the value of {@link #sequence} when the send was decided
     * @param cache {@link #cacheNumber} of the cache
     * @param attempt 0 for the request's first attempt
     * @param hedged whether another attempt of the request is in flight
     */
    public void recordSend(
            long now,
            int decidedSequence,
            int cache,
            int attempt,
            boolean hedged,
            String requestId) {
        if (recordsEachSend) {
            recorder.append(
                    new Entry.AttemptSent(
                            now - startNanos, decidedSequence, cache, attempt, requestId));
        }
        if (decidedSequence != sequence) {
            // Decided before the latest change: counted under the versions applied at that time.
            recorder.append(
                    new Entry.SendCounts(
                            now - startNanos,
                            decidedSequence,
                            hedged ? 1 : 0,
                            0,
                            0,
                            new int[] {cache},
                            new int[] {1}));
            return;
        }
        sendsByCache[cache]++;
        hedgedRequests += hedged ? 1 : 0;
    }

    /** Counts a rejected request. */
    public void recordRejection() {
        rejectedRequests++;
    }

    /** Counts a request that failed by a decision of this balancer. */
    public void recordFailure() {
        failedRequests++;
    }

    /** Records that a configuration or another update was rejected. */
    public void recordRejection(long now, String reason) {
        recorder.append(new Entry.UpdateRejected(now - startNanos, reason));
    }

    /**
     * Records the counts since the last call, even if all are 0, to show that the balancer is
     * running, and any jump of the wall clock. To be called about once a second.
     */
    public void tick(long now, long wallMillis) {
        flush(now);
        long movedMillis =
                wallMillis - (now - startNanos) / NANOS_PER_MILLISECOND - wallOffsetMillis;
        if (Math.abs(movedMillis) >= CLOCK_JUMP_MILLIS) {
            wallOffsetMillis += movedMillis;
            recorder.append(new Entry.WallClockJumped(now - startNanos, movedMillis));
        }
    }

    private void flush(long now) {
        int used = 0;
        for (int i = 0; i < cacheNumbers.size(); i++) {
            used += sendsByCache[i] > 0 ? 1 : 0;
        }
        int[] caches = new int[used];
        int[] counts = new int[used];
        for (int i = 0, index = 0; i < cacheNumbers.size(); i++) {
            if (sendsByCache[i] > 0) {
                caches[index] = i;
                counts[index++] = sendsByCache[i];
                sendsByCache[i] = 0;
            }
        }
        recorder.append(
                new Entry.SendCounts(
                        now - startNanos,
                        sequence,
                        hedgedRequests,
                        rejectedRequests,
                        failedRequests,
                        caches,
                        counts));
        hedgedRequests = 0;
        rejectedRequests = 0;
        failedRequests = 0;
    }

    /** Records the remaining counts and a shutdown. */
    public void recordStop(long now) {
        flush(now);
        recorder.append(new Entry.Stopped(now - startNanos));
    }

    @Override
    public void onMemberState(
            long now, int rank, long incarnation, MemberState state, int reportedBy) {
        recorder.append(
                new Entry.PeerStateChanged(now - startNanos, rank, incarnation, state, reportedBy));
    }

    @Override
    public void onLocalIncarnation(long now, long incarnation) {
        recorder.append(new Entry.IncarnationChanged(now - startNanos, incarnation));
    }

    @Override
    public void onMemberEntry(
            long now,
            int rank,
            long incarnation,
            int sequenceNumber,
            int versionsRef,
            long ageNanos) {
        recorder.append(
                new Entry.PeerVersionsHeard(
                        now - startNanos,
                        rank,
                        incarnation,
                        sequenceNumber,
                        versionsRef,
                        ageNanos));
    }

    @Override
    public void onClockSample(
            long now, int rank, long incarnation, long sentAtNanos, long peerUnixMillis) {
        recorder.append(
                new Entry.PeerClockSampled(
                        now - startNanos,
                        rank,
                        incarnation,
                        sentAtNanos - startNanos,
                        peerUnixMillis));
    }
}
