package frostrelay.emulator;

import org.apache.commons.rng.UniformRandomProvider;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The origin shared by all caches: limited concurrency, a bounded queue, and an outage on overload.
 */
final class SimOrigin {
    /** Receives the result of a call; {@code succeeded} if it was executed. */
    interface Callback {
        void onCompleted(long now, boolean succeeded);
    }

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final SystemModel.Origin spec;
    private final Timeline timeline;
    private final UniformRandomProvider random;
    private final Deque<Callback> queue = new ArrayDeque<>();
    private int inFlight;
    private double slowdownFactor = 1;
    private long instantUntilNanos;
    private long downUntilNanos;
    private long windowStartNanos;
    private int callsInWindow;
    private long calls;
    private long overloadCount;

    SimOrigin(SystemModel.Origin spec, Timeline timeline, long seed) {
        this.spec = spec;
        this.timeline = timeline;
        this.random = RandomStreams.create(seed, "origin");
    }

    /** Completes every call at once until the given time. */
    void setInstantUntil(long untilNanos) {
        instantUntilNanos = untilNanos;
    }

    void call(long now, Callback callback) {
        if (now < instantUntilNanos) {
            callback.onCompleted(now, true);
            return;
        }
        calls++;
        if (now - windowStartNanos >= NANOS_PER_SECOND) {
            windowStartNanos = now;
            callsInWindow = 0;
        }
        if (++callsInWindow
                        > spec.overloadMultiple()
                                * spec.maxConcurrentFetches()
                                * NANOS_PER_SECOND
                                / spec.meanFetchNanos()
                && spec.overloadMultiple() > 0
                && now >= downUntilNanos) {
            overloadCount++;
            startOutage(now, spec.overloadOutageNanos());
        }
        if (now < downUntilNanos) {
            callback.onCompleted(now, false);
        } else if (inFlight < spec.maxConcurrentFetches()) {
            startCall(now, callback);
        } else if (queue.size() < spec.queueCapacity()) {
            queue.add(callback);
        } else {
            callback.onCompleted(now, false);
        }
    }

    private void startCall(long now, Callback callback) {
        inFlight++;
        // Half of the mean duration is fixed, the other half is exponentially distributed.
        double durationFactor = 0.5 - 0.5 * Math.log(1 - random.nextDouble());
        timeline.schedule(
                now + (long) (spec.meanFetchNanos() * durationFactor * slowdownFactor),
                then -> {
                    inFlight--;
                    callback.onCompleted(then, then >= downUntilNanos);
                    while (inFlight < spec.maxConcurrentFetches() && !queue.isEmpty()) {
                        startCall(then, queue.poll());
                    }
                });
    }

    /** Fails all calls for the given duration. */
    void startOutage(long now, long durationNanos) {
        downUntilNanos = Math.max(downUntilNanos, now + durationNanos);
        Deque<Callback> rejectedCalls = new ArrayDeque<>(queue);
        queue.clear();
        rejectedCalls.forEach(callback -> callback.onCompleted(now, false));
    }

    /** Multiplies the duration of fetches. */
    void setSlowdownFactor(double factor) {
        slowdownFactor = factor;
    }

    long calls() {
        return calls;
    }

    long overloadCount() {
        return overloadCount;
    }
}
