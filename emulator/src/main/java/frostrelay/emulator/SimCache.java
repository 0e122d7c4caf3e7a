package frostrelay.emulator;

import org.agrona.collections.Int2ObjectHashMap;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A simulated cache with FIFO service on several cores, a bounded queue, an object store, fetches
 * from the origin on misses, and a slow start.
 */
final class SimCache {
    /** The outcome of a job. */
    enum Outcome {
        SERVED,
        HIT,
        FETCHED,
        FAILED,
        REJECTED,
        CONNECTION_REFUSED,
        RESET
    }

    /** A request to be processed by a cache. */
    interface Job {
        int key();

        /** Returns the work in nanoseconds of a core at full speed. */
        double workNanos();

        boolean isWrite();

        /** Returns whether the sender has abandoned the job; queued jobs are then dropped. */
        boolean isCancelled();

        /**
         * Returns whether the sender addressed this cache. False if its list names another cache at
         * the same address.
         */
        boolean isIntendedCache();

        void onCompleted(long now, Outcome outcome);

        /** Notifies that the job has been executed. */
        void onExecuted(long now);
    }

    /** A linked-list node of a job that has arrived and not completed. */
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

        /** Removes the node; returns false if it was not linked. */
        boolean unlink() {
            boolean wasLinked = next != this;
            previous.next = next;
            next.previous = previous;
            previous = this;
            next = this;
            return wasLinked;
        }
    }

    /**
     * Keeps the incarnations of a replacement distinct from those of the previous cache at the same
     * address.
     */
    private static final int REPLACEMENT_INCARNATION_OFFSET = 1 << 20;

    /** Multiplier that spreads a counter evenly, to choose the requests that fail. */
    private static final int GOLDEN_RATIO = 0x9E3779B9;

    private final SystemModel.Cache spec;
    private final int index;
    private final int maxConnections;
    private final Timeline timeline;
    private final SimOrigin origin;

    /** Number of writes to each key, over all caches. */
    private final int[] versionByKey;

    private final SlowStartGuard slowStartGuard;
    private final SimCacheMemory memory;
    private final Deque<JobNode> queue = new ArrayDeque<>();
    private final Int2ObjectHashMap<List<JobNode>> waitersByKey = new Int2ObjectHashMap<>();

    /** List head of all jobs that have not completed, in order of arrival. */
    private final JobNode openJobs = new JobNode(null);

    private int busyCores;
    private boolean isDown;
    private double slowdownFactor = 1;
    private long startedAtNanos = Long.MIN_VALUE / 2;

    /** Number of process starts; events of former incarnations are ignored. */
    private int incarnation;

    private long hits;
    private long misses;
    private long busyNanos;

    /** Set while the cache answers nothing. */
    private boolean isUnresponsive;

    /** Fraction of requests that fail because of an injected fault. */
    private double failureFraction;

    private int connectionCount;
    private long wastedNanos;
    private int failureCounter;

    /** Creates a cache that accepts up to {@code maxConnections} connections. */
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

    /** Stores a key in its initial version. */
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
        // Contention: each queued job slows the running one, as context switches and CPU cache
        // misses do.
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

    /** Stops the process; open jobs are reset and memory is lost. */
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

    /** Starts the process with empty memory, in slow start. */
    void start(long now) {
        isDown = false;
        startedAtNanos = now;
    }

    /** Starts this cache for the first time, as the replacement of another. */
    void startAsReplacement(long now) {
        incarnation += REPLACEMENT_INCARNATION_OFFSET;
        start(now);
    }

    /** Multiplies the duration of work. */
    void setSlowdownFactor(double factor) {
        slowdownFactor = factor;
    }

    /** Isolates the machine from the network without any notification, or reconnects it. */
    void setUnresponsive(boolean unresponsive) {
        isUnresponsive = unresponsive;
    }

    /** Sets the fraction of requests that fail. */
    void setFailureFraction(double fraction) {
        failureFraction = fraction;
    }

    /** Accepts or refuses a new connection; returns null if the machine does not answer. */
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

    /** Closes a connection that was established in the given incarnation. */
    void closeConnection(int connectionIncarnation) {
        connectionCount -= connectionIncarnation == incarnation ? 1 : 0;
    }

    /** Returns the incarnation, which identifies the process that connections belong to. */
    int incarnation() {
        return incarnation;
    }

    /** Returns the cache's index. */
    int index() {
        return index;
    }

    /** Returns the number of open connections. */
    int connectionCount() {
        return connectionCount;
    }

    /** Returns the core time in nanoseconds spent on jobs that were abandoned before completion. */
    long wastedNanos() {
        return wastedNanos;
    }

    /** Returns the core time in nanoseconds spent on jobs. */
    long worked() {
        return busyNanos;
    }

    /** Invalidates all objects, as the release of new templates does. */
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
