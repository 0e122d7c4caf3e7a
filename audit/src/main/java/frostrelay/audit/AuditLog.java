package frostrelay.audit;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.GossipNode;
import frostrelay.gossip.MemberState;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps account of what one life of a balancer acts on, and writes it down. A send costs two
 * additions and no allocation unless sends are wanted one by one. For one thread; moments are
 * nanoseconds of the balancer's monotonic clock.
 */
public final class AuditLog implements GossipNode.Listener {
    /** A wall clock that moved by less against the monotonic one is being slewed, not set. */
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
     * {@code recordsEachSend}: whether every send is entered by itself; {@code incarnation}: of
     * this life among its peers.
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

    /** The number that a cache goes by here. */
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

    /** The list says this of a cache; to be told before {@link #recordVersionsApplied}. */
    public void recordEndpoint(long now, int cache, boolean ready, long serverStartMillis) {
        recorder.append(
                new Entry.EndpointListed(now - startNanos, cache, ready, serverStartMillis));
    }

    /** From now on decisions are made under this. */
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

    /** The number of the stamp that holds now. */
    public int sequence() {
        return sequence;
    }

    /** What holds now. */
    public AppliedVersions appliedVersions() {
        return appliedVersions;
    }

    /** Since when, on this log's clock. */
    public long appliedAtNanos() {
        return appliedAtNanos;
    }

    /** Why it began to. */
    public Cause cause() {
        return cause;
    }

    /**
     * An attempt that was decided on under the stamp {@code decidedSequence} was written to a
     * cache. {@code attempt}: its place among the request's; {@code hedged}: another is still out;
     * {@code requestId}: the request's.
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
            // Decided on before the change, on its way while it came: under the old stamp.
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

    /** A request was refused by decision. */
    public void recordRejection() {
        rejectedRequests++;
    }

    /** A request was given up as failed by decision. */
    public void recordFailure() {
        failedRequests++;
    }

    /** Something could not be taken. */
    public void recordRejection(long now, String reason) {
        recorder.append(new Entry.UpdateRejected(now - startNanos, reason));
    }

    /**
     * To be called about once a second: counts so far go into the record, also where there are
     * none, as a sign that it lives; a wall clock that was set is noticed.
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

    /** The life ends in order. */
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
