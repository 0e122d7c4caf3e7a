package frostrelay.emulator;

import org.agrona.collections.Int2ObjectHashMap;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A cache: cores that serve in the order of arrival, a bounded queue, memory, misses to the origin,
 * a cold start.
 */
final class SimCache {
    /** How work at a cache ends. */
    enum Outcome {
        SERVED,
        HIT,
        FETCHED,
        FAILED,
        REJECTED,
        CONNECTION_REFUSED,
        RESET
    }

    /** Work for a cache. */
    interface Job {
        int key();

        /** Nanoseconds of a core at full speed. */
        double workNanos();

        boolean isWrite();

        /** Whether nobody waits any more: waiting work is dropped then. */
        boolean isCancelled();

        /**
         * Whether who sent it has been told of the cache: it may think that another one is there.
         */
        boolean isIntendedCache();

        void onCompleted(long now, Outcome outcome);

        /** It took effect. */
        void onExecuted(long now);
    }

    /** A job from its coming to its end. */
    private static final class JobNode {
        final Job job;
        JobNode previous = this;
        JobNode next = this;

        JobNode(Job job) {
            this.job = job;
        }

        void append(JobNode other) {
            other.previous = previous;
            other.next = this;
            previous.next = other;
            previous = other;
        }

        /** False if it had left before. */
        boolean unlink() {
            boolean wasLinked = next != this;
            previous.next = next;
            next.previous = previous;
            previous = this;
            next = this;
            return wasLinked;
        }
    }

    /** Lives of a newcomer are none of those that the cache before it at the same address had. */
    private static final int REPLACEMENT_INCARNATION_OFFSET = 1 << 20;

    /** Numbers without a pattern, out of a counter. */
    private static final int GOLDEN_RATIO = 0x9E3779B9;

    private final SystemModel.Cache spec;
    private final int index;
    private final int maxConnections;
    private final Timeline timeline;
    private final SimOrigin origin;

    /** How often each key was written, over all caches. */
    private final int[] versionByKey;

    private final SlowStartGuard slowStartGuard;
    private final SimCacheMemory memory;
    private final Deque<JobNode> queue = new ArrayDeque<>();
    private final Int2ObjectHashMap<List<JobNode>> waitersByKey = new Int2ObjectHashMap<>();

    /** All that has come and not ended is linked behind this, in the order in which it came. */
    private final JobNode openJobs = new JobNode(null);

    private int busyCores;
    private boolean isDown;
    private double slowdownFactor = 1;
    private long startedAtNanos = Long.MIN_VALUE / 2;

    /** Counts lives: what belongs to a former one ends in nothing. */
    private int incarnation;

    private long hits;
    private long misses;
    private long busyNanos;

    /** Takes what comes and answers nothing. */
    private boolean isUnresponsive;

    /** The part of requests that fails for a cause of its own. */
    private double failureFraction;

    private int connectionCount;
    private long wastedNanos;
    private int failureCounter;

    /** {@code maxConnections}: connections that it holds. */
    SimCache(
            SystemModel.Cache spec,
            int index,
            int maxConnections,
            Timeline timeline,
            SimOrigin origin,
            int[] versionByKey,
            SlowStartGuard slowStartGuard) {
        this.slowStartGuard = slowStartGuard;
        this.spec = spec;
        this.index = index;
        this.maxConnections = maxConnections;
        this.timeline = timeline;
        this.origin = origin;
        this.versionByKey = versionByKey;
        this.memory = new SimCacheMemory(spec.maxObjects(), spec.eviction());
    }

    /** Holds a key from the start. */
    void preload(int key) {
        memory.put(key, 0);
    }

    void accept(long now, Job job) {
        if (isUnresponsive) {
            return;
        }
        if (isDown) {
            job.onCompleted(now, Outcome.CONNECTION_REFUSED);
            return;
        }
        if (now - startedAtNanos < spec.slowStartNanos() && job.isIntendedCache()) {
            slowStartGuard.onArrival(now, currentSpeed(now) * slowdownFactor);
        }
        JobNode jobNode = new JobNode(job);
        openJobs.append(jobNode);
        if (busyCores < spec.cores()) {
            startWork(now, jobNode);
        } else if (queue.size() < spec.queueCapacity()) {
            queue.add(jobNode);
        } else {
            complete(now, jobNode, Outcome.REJECTED);
        }
    }

    private void complete(long now, JobNode jobNode, Outcome outcome) {
        if (jobNode.unlink() && !isUnresponsive) {
            jobNode.job.onCompleted(now, outcome);
        }
    }

    private double currentSpeed(long now) {
        long ageNanos = now - startedAtNanos;
        double warmFraction =
                ageNanos >= spec.slowStartNanos()
                        ? 1
                        : spec.slowStartInitialFraction()
                                + (1 - spec.slowStartInitialFraction())
                                        * ageNanos
                                        / spec.slowStartNanos();
        return warmFraction / slowdownFactor;
    }

    private void startWork(long now, JobNode jobNode) {
        busyCores++;
        int startIncarnation = incarnation;
        // Crowding: each that waits slows the one in work, as context switches and lost cache lines
        // do.
        long durationNanos =
                (long)
                        (jobNode.job.workNanos()
                                * (1 + spec.slowdownPerQueued() * queue.size())
                                / currentSpeed(now));
        busyNanos += durationNanos;
        timeline.schedule(
                now + durationNanos,
                then -> {
                    if (startIncarnation != incarnation) {
                        return;
                    }
                    busyCores--;
                    worked(then, jobNode, durationNanos);
                    while (busyCores < spec.cores() && !queue.isEmpty()) {
                        JobNode next = queue.poll();
                        if (next.job.isCancelled()) {
                            next.unlink();
                        } else {
                            startWork(then, next);
                        }
                    }
                });
    }

    private void worked(long now, JobNode jobNode, long durationNanos) {
        Job job = jobNode.job;
        wastedNanos += job.isCancelled() ? durationNanos : 0;
        if (failureFraction > 0
                && (++failureCounter * GOLDEN_RATIO >>> 1) < failureFraction * Integer.MAX_VALUE) {
            complete(now, jobNode, Outcome.FAILED);
            return;
        }
        if (job.isWrite()) {
            job.onExecuted(now);
            versionByKey[job.key()]++;
            callOrigin(now, succeeded -> {}, List.of(jobNode));
            return;
        }
        if (memory.contains(job.key(), versionByKey[job.key()])) {
            hits++;
            complete(now, jobNode, Outcome.HIT);
            return;
        }
        misses++;
        List<JobNode> existingWaiters =
                spec.coalescesFetches() ? waitersByKey.get(job.key()) : null;
        if (existingWaiters != null) {
            existingWaiters.add(jobNode);
            return;
        }
        List<JobNode> waiters = new ArrayList<>(1);
        waiters.add(jobNode);
        if (spec.coalescesFetches()) {
            waitersByKey.put(job.key(), waiters);
        }
        int version = versionByKey[job.key()];
        callOrigin(
                now,
                succeeded -> {
                    waitersByKey.remove(job.key());
                    if (succeeded) {
                        memory.put(job.key(), version);
                    }
                },
                waiters);
    }

    private interface OriginCallback {
        void onResult(boolean succeeded);
    }

    private void callOrigin(long now, OriginCallback callback, List<JobNode> jobNodes) {
        int startIncarnation = incarnation;
        origin.call(
                now,
                (at, succeeded) -> {
                    if (startIncarnation == incarnation) {
                        callback.onResult(succeeded);
                        jobNodes.forEach(
                                jobNode ->
                                        complete(
                                                at,
                                                jobNode,
                                                !succeeded
                                                        ? Outcome.FAILED
                                                        : jobNode.job.isWrite()
                                                                ? Outcome.SERVED
                                                                : Outcome.FETCHED));
                    }
                });
    }

    /** The process dies with all it holds. */
    void kill(long now) {
        isDown = true;
        incarnation++;
        connectionCount = 0;
        busyCores = 0;
        memory.clear();
        waitersByKey.clear();
        queue.clear();
        while (openJobs.next != openJobs) {
            complete(now, openJobs.next, Outcome.RESET);
        }
    }

    /** It starts empty and cold. */
    void start(long now) {
        isDown = false;
        startedAtNanos = now;
    }

    /** It comes in the place of another for the first time. */
    void startAsReplacement(long now) {
        incarnation += REPLACEMENT_INCARNATION_OFFSET;
        start(now);
    }

    /** Work takes so many times as long from now on. */
    void setSlowdownFactor(double factor) {
        slowdownFactor = factor;
    }

    /** Its machine is cut off: nothing comes in and nothing goes out, and nobody is told. */
    void setUnresponsive(boolean unresponsive) {
        isUnresponsive = unresponsive;
    }

    /** Fails this part of its requests from now on. */
    void setFailureFraction(double fraction) {
        failureFraction = fraction;
    }

    /**
     * Whether a new connection comes up: null while nothing answers, as from a machine that is cut
     * off.
     */
    Boolean acceptConnection() {
        if (isUnresponsive) {
            return null;
        }
        if (isDown || connectionCount >= maxConnections) {
            return false;
        }
        connectionCount++;
        return true;
    }

    /** A connection that came up in that life of it is closed. */
    void closeConnection(int connectionIncarnation) {
        connectionCount -= connectionIncarnation == incarnation ? 1 : 0;
    }

    /** Counts lives: connections end with the process. */
    int incarnation() {
        return incarnation;
    }

    /** Where it is listed. */
    int index() {
        return index;
    }

    /** Connections that it holds. */
    int connectionCount() {
        return connectionCount;
    }

    /**
     * Nanoseconds of its cores' time that were given to work that nobody waited for when it was
     * done.
     */
    long wastedNanos() {
        return wastedNanos;
    }

    /** Nanoseconds of its cores' time that were given to work. */
    long worked() {
        return busyNanos;
    }

    /** All that is kept goes void, as a release of new templates does. */
    void invalidateAll() {
        memory.clear();
    }

    long hits() {
        return hits;
    }

    long misses() {
        return misses;
    }
}
