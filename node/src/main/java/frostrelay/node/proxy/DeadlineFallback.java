package frostrelay.node.proxy;

import frostrelay.node.metrics.Counters;
import frostrelay.node.metrics.RejectionReason;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.PolicyEvents;

import io.netty.channel.EventLoop;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Completes requests without the policy, if the policy has left them open past their deadline or
 * has thrown an exception while it handled them.
 */
final class DeadlineFallback {
    /** The delay between the deadline of a request and its completion by the fallback. */
    private static final long FALLBACK_DELAY_NANOS = Clock.NANOS_PER_MILLISECOND;

    private final EventLoop loop;
    private final Counters counters;
    private final RequestCompletion completion;
    private final AttemptTracker attempts;
    private final PolicyEventQueue events;
    private final PolicyEvents policy;

    DeadlineFallback(
            EventLoop loop,
            Counters counters,
            RequestCompletion completion,
            AttemptTracker attempts,
            PolicyEventQueue events,
            PolicyEvents policy) {
        this.loop = loop;
        this.counters = counters;
        this.completion = completion;
        this.attempts = attempts;
        this.events = events;
        this.policy = policy;
    }

    /** Schedules the fallback of a request for its current deadline. */
    void schedule(ActiveRequest activeRequest, long now) {
        activeRequest.fallbackTask =
                loop.schedule(
                        new Task(activeRequest),
                        activeRequest.deadlineNanos + FALLBACK_DELAY_NANOS - now,
                        TimeUnit.NANOSECONDS);
    }

    /** Moves the fallback of an open request to an earlier deadline. */
    void reschedule(ActiveRequest activeRequest, long now) {
        activeRequest.fallbackTask.cancel(false);
        schedule(activeRequest, now);
    }

    private final class Task implements Runnable {
        private final ActiveRequest activeRequest;

        Task(ActiveRequest activeRequest) {
            this.activeRequest = activeRequest;
        }

        @Override
        public void run() {
            if (!activeRequest.completed) {
                counters.lastCalls++;
                completeWithoutPolicy(activeRequest);
            }
        }
    }

    /**
     * Completes a request and abandons its attempts. The request is rejected if no attempt can have
     * run; otherwise it fails.
     */
    void completeWithoutPolicy(ActiveRequest activeRequest) {
        boolean mayHaveRun =
                activeRequest.mayHaveRun
                        || activeRequest.attempts.stream().anyMatch(Attempt::isWritten);
        for (Attempt attempt : List.copyOf(activeRequest.attempts)) {
            // The policy receives the outcome and may choose the response accordingly, so an
            // attempt that was never written must be reported as such.
            attempts.abandon(
                    attempt,
                    attempt.isWritten() ? AttemptResult.CANCELLED : AttemptResult.SUPERSEDED);
        }
        if (!activeRequest.completed) {
            if (mayHaveRun) {
                completion.fail(activeRequest);
            } else {
                completion.reject(activeRequest, RejectionReason.TIMED_OUT_UNSENT, 0);
            }
            events.post(
                    activeRequest, () -> policy.onClientDisconnect(Clock.now(), activeRequest.id));
        }
    }
}
