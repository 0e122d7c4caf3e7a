package frostrelay.testbed.cache;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * How a machine gets through its work: some cores share what runs in the slots evenly, the rest
 * waits in a bounded queue. No I/O and no clock: every call carries the time in nanoseconds, which
 * never falls. Not safe for threads.
 */
public final class WorkEngine<J> {
    /** What became of a job that was offered. */
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
     * {@code cores} and {@code slots} of at least 1; {@code queueCapacity} places to wait beyond
     * the slots.
     */
    public WorkEngine(int cores, int slots, int queueCapacity) {
        this.cores = cores;
        this.slots = slots;
        this.queueCapacity = queueCapacity;
    }

    /** Adds a job of so much work, in nanoseconds of one core at full speed. */
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
     * Takes a job out, done or not; false if it is not here. {@code running} jobs go only if {@code
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

    /** From now on the machine does so much of its full speed, more than 0. */
    public void setSpeed(long now, double part) {
        advance(now);
        speed = Math.max(1e-6, part);
    }

    /** The jobs that are done by now, in the order in which they ended. */
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

    /** When the next job will be done if nothing changes; Long.MAX_VALUE if none runs. */
    public long nextCompletionNanos() {
        double minRemainingNanos = Double.POSITIVE_INFINITY;
        for (Task<J> task : running) {
            minRemainingNanos = Math.min(minRemainingNanos, task.remainingNanos);
        }
        return running.isEmpty()
                ? Long.MAX_VALUE
                : advancedToNanos + (long) Math.ceil(Math.max(0, minRemainingNanos) / rate());
    }

    /** Work that a job gets done in a nanosecond. */
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

    /** Jobs that run. */
    public int running() {
        return running.size();
    }

    /** Jobs that wait. */
    public int waiting() {
        return waiting.size();
    }

    /** Drops everything, as a process that dies does. */
    public void clear(long now) {
        advance(now);
        running.clear();
        waiting.clear();
    }
}
