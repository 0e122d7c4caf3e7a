package frostrelay.node.proxy;

import frostrelay.healthreports.AttemptObservation;
import frostrelay.node.config.CurrentSettings;
import frostrelay.node.metrics.Counters;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.ResponseSource;

import io.netty.channel.EventLoop;

import java.util.concurrent.TimeUnit;

/**
 * Tracks each attempt from the policy's action to its outcome: starts attempts, times them out,
 * abandons them, and reports each outcome once. Runs on the event loop.
 */
final class AttemptTracker {
    private final EventLoop loop;
    private final Counters counters;
    private final CurrentSettings currentSettings;
    private final DecisionObserver observer;
    private final RequestCompletion completion;
    private final PolicyEventQueue events;
    private final Upstream upstream;
    private final PolicyEvents policy;

    AttemptTracker(
            EventLoop loop,
            Counters counters,
            CurrentSettings currentSettings,
            DecisionObserver observer,
            RequestCompletion completion,
            PolicyEventQueue events,
            Upstream upstream,
            PolicyEvents policy) {
        this.loop = loop;
        this.counters = counters;
        this.currentSettings = currentSettings;
        this.observer = observer;
        this.completion = completion;
        this.events = events;
        this.upstream = upstream;
        this.policy = policy;
    }

    /**
     * Starts an attempt.
     *
     * @param abandonAtNanos the time at which the policy abandons the attempt; 0 or less for the
     *     request's deadline
     */
    void start(ActiveRequest activeRequest, long serverId, long abandonAtNanos) {
        long now = Clock.now();
        long timeoutAtNanos =
                abandonAtNanos <= 0
                        ? activeRequest.deadlineNanos
                        : Math.min(abandonAtNanos, activeRequest.deadlineNanos);
        Attempt attempt =
                new Attempt(
                        activeRequest,
                        activeRequest.attempts.size(),
                        serverId,
                        now,
                        timeoutAtNanos,
                        observer.versionSequence());
        if (attempt.number > 0) {
            counters.recordRetry(activeRequest.attempts.get(attempt.number - 1).result);
        }
        activeRequest.attempts.add(attempt);
        activeRequest.pendingOutcomes++;
        boolean hasTooManyAttempts =
                activeRequest.attempts.size() > currentSettings.get().policySettings.maxAttempts();
        if (activeRequest.completed || hasTooManyAttempts || now >= activeRequest.deadlineNanos) {
            complete(attempt, AttemptResult.SUPERSEDED, null, null);
        } else if (now >= timeoutAtNanos) {
            complete(attempt, AttemptResult.TIMEOUT, null, null);
        } else {
            attempt.timeoutTask =
                    loop.schedule(
                            new AttemptTimeout(attempt),
                            timeoutAtNanos - now,
                            TimeUnit.NANOSECONDS);
            upstream.send(attempt, serverId);
        }
    }

    /** Called immediately before an attempt is written. */
    void onWriteStarted(Attempt attempt, int serverNumber) {
        boolean isHedge = false;
        for (int i = 0; i < attempt.number; i++) {
            isHedge |= !attempt.activeRequest.attempts.get(i).completed;
        }
        attempt.writeStarted = true;
        attempt.activeRequest.trace("attempt-written", attempt.number);
        observer.onAttemptSent(
                attempt.appliedVersionIndex,
                serverNumber,
                attempt.number,
                isHedge,
                attempt.activeRequest.clientRequest);
    }

    /**
     * Stops waiting for an attempt and reports the given outcome, unless the attempt has one
     * already.
     */
    void abandon(Attempt attempt, AttemptResult result) {
        if (!attempt.completed) {
            upstream.abandon(attempt);
            complete(attempt, result, null, null);
        }
    }

    /** Reports the outcome of an attempt, unless the attempt has one already. */
    void complete(
            Attempt attempt, AttemptResult result, UpstreamResponse response, ValueStream value) {
        if (attempt.completed) {
            if (value != null) {
                value.cancel();
            }
            return;
        }
        attempt.completed = true;
        attempt.result = result;
        attempt.activeRequest.trace("attempt-ended", result);
        if (attempt.timeoutTask != null) {
            attempt.timeoutTask.cancel(false);
        }
        counters.recordOutcome(result);
        attempt.activeRequest.mayHaveRun |= !result.neverRan;
        events.post(new AttemptOutcomeEvent(attempt, result, response, value));
    }

    private final class AttemptTimeout implements Runnable {
        private final Attempt attempt;

        AttemptTimeout(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void run() {
            counters.recordTimer(Clock.now() - attempt.timeoutAtNanos);
            abandon(attempt, result());
        }

        private AttemptResult result() {
            if (!attempt.isWritten()) {
                // It cannot have run: its connection did not open in time.
                return AttemptResult.CONNECT_FAILED;
            }
            return attempt.connection.isAwaitingMemory()
                    ? AttemptResult.CANCELLED
                    : AttemptResult.TIMEOUT;
        }
    }

    private final class AttemptOutcomeEvent extends PolicyEvent {
        private final Attempt attempt;
        private final AttemptResult result;
        private final UpstreamResponse response;
        private final ValueStream value;

        AttemptOutcomeEvent(
                Attempt attempt,
                AttemptResult result,
                UpstreamResponse response,
                ValueStream value) {
            super(attempt.activeRequest);
            this.attempt = attempt;
            this.result = result;
            this.response = response;
            this.value = value;
        }

        @Override
        void dispatch() {
            activeRequest.pendingOutcomes--;
            respond();
            AttemptObservation attemptObservation = observation();
            if (attemptObservation != null) {
                observer.onAttemptObserved(
                        attempt.serverId, attemptObservation, attempt.sentAtNanos);
            }
            ResponseSource source = response == null ? ResponseSource.UNKNOWN : response.source();
            if (attempt.writeStarted) {
                observer.onAttemptCompleted(result, source);
            }
            float[] loadReport =
                    currentSettings
                            .get()
                            .parseReport(response == null ? null : response.loadReport());
            long now = Clock.now();
            policy.onAttemptOutcome(
                    now,
                    new AttemptOutcome(
                            activeRequest.id,
                            attempt.number,
                            result,
                            now - attempt.sentAtNanos,
                            activeRequest.completed,
                            source,
                            loadReport));
        }

        /**
         * Passes the response to the client if no other attempt has provided the response before.
         */
        private void respond() {
            if (result == AttemptResult.OK && completion.markCompleted(activeRequest)) {
                activeRequest.winningAttempt = attempt.number;
                counters.served++;
                activeRequest.trace("served", attempt.number);
                activeRequest.responseListener.onServed(response, value);
            } else if (value != null) {
                value.cancel();
            }
        }

        /**
         * Returns what the outcome indicates about the server's health, or null if it indicates
         * nothing. A rejection for lack of capacity is not a fault of the server.
         */
        private AttemptObservation observation() {
            return switch (result) {
                case OK, MISS -> AttemptObservation.ANSWERED;
                case ERROR -> AttemptObservation.FAILED;
                case TIMEOUT -> AttemptObservation.SILENT;
                case RESET -> AttemptObservation.RESET;
                case CONNECT_FAILED -> AttemptObservation.UNREACHABLE;
                // A hedged request sent later got its response first.
                case CANCELLED ->
                        activeRequest.winningAttempt > attempt.number
                                ? AttemptObservation.SILENT
                                : null;
                case REJECTED, SUPERSEDED -> null;
            };
        }
    }
}
