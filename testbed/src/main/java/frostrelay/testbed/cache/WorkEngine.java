package frostrelay.testbed.cache;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * A model of a machine: the jobs in the slots share the cores evenly, and further jobs wait in a
 * bounded queue. No I/O and no clock: callers pass the time in nanoseconds, which must not
 * decrease. Not thread-safe.
 */
public final class WorkEngine<J> {
    /** The result of submitting a job. */
    public enum Admission {
        RUNNING,
        QUEUED,
        REJECTED
    }

    private static final class Task<J> {
        final J job;
        double remainingNanos;

        Task(J job, double remainingNanos) {
            this.job = job;
            this.remainingNanos = remainingNanos;
        }
    }

    private final int cores;
    private final int slots;
    private final int queueCapacity;
    private final List<Task<J>> running = new ArrayList<>();
    private final Deque<Task<J>> waiting = new ArrayDeque<>();
    private double speed = 1;
    private long advancedToNanos;

    /**
     * Creates an engine. {@code cores} and {@code slots}: at least 1; {@code queueCapacity}:
     * maximum number of jobs that wait for a slot.
     */
    public WorkEngine(int cores, int slots, int queueCapacity) {
        this.cores = cores;
        this.slots = slots;
        this.queueCapacity = queueCapacity;
    }

    /** Submits a job. {@code work}: nanoseconds of one core at full speed. */
    public Admission submit(long now, J job, double work) {
        advance(now);
        if (running.size() < slots) {
            running.add(new Task<>(job, work));
            return Admission.RUNNING;
        }
        if (waiting.size() < queueCapacity) {
            waiting.add(new Task<>(job, work));
            return Admission.QUEUED;
        }
        return Admission.REJECTED;
    }

    /**
     * Removes a job and returns whether it was removed. Running jobs are removed only if {@code
     * stop}.
     */
    public boolean remove(long now, J job, boolean stop) {
        advance(now);
        if (waiting.removeIf(task -> task.job == job)) {
            return true;
        }
        boolean removed = stop && running.removeIf(task -> task.job == job);
        refill();
        return removed;
    }

    /** Sets the speed as a fraction of full speed, greater than 0. */
    public void setSpeed(long now, double part) {
        advance(now);
        speed = Math.max(1e-6, part);
    }

    /** Removes and returns the finished jobs, in the order in which they started. */
    public List<J> pollFinished(long now) {
        advance(now);
        List<J> done = new ArrayList<>();
        for (Iterator<Task<J>> tasks = running.iterator(); tasks.hasNext(); ) {
            Task<J> task = tasks.next();
            if (task.remainingNanos <= 0.5) {
                done.add(task.job);
                tasks.remove();
            }
        }
        refill();
        return done;
    }

    /**
     * Returns the time at which the next job finishes if nothing changes, or Long.MAX_VALUE if none
     * is running.
     */
    public long nextCompletionNanos() {
        double minRemainingNanos = Double.POSITIVE_INFINITY;
        for (Task<J> task : running) {
            minRemainingNanos = Math.min(minRemainingNanos, task.remainingNanos);
        }
        return running.isEmpty()
                ? Long.MAX_VALUE
                : advancedToNanos + (long) Math.ceil(Math.max(0, minRemainingNanos) / rate());
    }

    /** Returns the work done per running job and nanosecond. */
    private double rate() {
        return speed * Math.min(1, cores / (double) Math.max(1, running.size()));
    }

    private void advance(long now) {
        double done = (now - advancedToNanos) * rate();
        for (Task<J> task : running) {
            task.remainingNanos -= done;
        }
        advancedToNanos = now;
    }

    private void refill() {
        while (running.size() < slots && !waiting.isEmpty()) {
            running.add(waiting.poll());
        }
    }

    /** Returns the number of running jobs. */
    public int running() {
        return running.size();
    }

    /** Returns the number of waiting jobs. */
    public int waiting() {
        return waiting.size();
    }

    /** Discards all jobs, as in a process crash. */
    public void clear(long now) {
        advance(now);
        running.clear();
        waiting.clear();
    }
}
