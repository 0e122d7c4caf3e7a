package frostrelay.node.proxy;

import frostrelay.node.config.CurrentSettings;
import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.metrics.Counters;
import frostrelay.node.metrics.InvariantViolation;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.RequestClass;

/**
 * Checks each attempt with {@link ActionGuard} immediately before its write, and once more after
 * the write.
 */
final class SendGuard {
    private final ActionGuard guard;
    private final CurrentSettings currentSettings;
    private final Counters counters;

    SendGuard(ActionGuard guard, CurrentSettings currentSettings, Counters counters) {
        this.guard = guard;
        this.currentSettings = currentSettings;
        this.counters = counters;
    }

    /** See {@link Upstream.Listener#maySend}. */
    ActionGuard.SendDecision check(Attempt attempt, long sendAllowedUntilNanos) {
        long now = Clock.now();
        return guard.checkSend(now, pendingSend(now, attempt, sendAllowedUntilNanos));
    }

    /** See {@link Upstream.Listener#remainingTimeoutNanos}. */
    long remainingTimeoutNanos(Attempt attempt) {
        return guard.forwardedTimeoutNanos(
                Clock.now(), attempt.timeoutAtNanos, attempt.activeRequest.deadlineNanos);
    }

    private ActionGuard.PendingSend pendingSend(
            long now, Attempt attempt, long sendAllowedUntilNanos) {
        ActiveRequest activeRequest = attempt.activeRequest;
        return new ActionGuard.PendingSend(
                activeRequest.completed,
                activeRequest.responseListener.disconnectUndetectableSince(now),
                attempt.timeoutAtNanos,
                activeRequest.deadlineNanos,
                sendAllowedUntilNanos,
                retryAllowedUntilNanos(attempt));
    }

    /**
     * Returns the time until which an attempt may be sent, given that earlier attempts may have
     * run; {@link ActionGuard#NEVER} for no limit.
     */
    private long retryAllowedUntilNanos(Attempt attempt) {
        for (int i = 0; i < attempt.number; i++) {
            Attempt earlier = attempt.activeRequest.attempts.get(i);
            if (earlier.result == null || !earlier.result.neverRan) {
                RequestClass current =
                        currentSettings
                                .get()
                                .policySettings
                                .classes()
                                .get(attempt.activeRequest.clientRequest.requestClass());
                return Math.min(
                        retryAllowedUntilNanos(attempt.activeRequest.requestClass, earlier),
                        retryAllowedUntilNanos(current, earlier));
            }
        }
        return ActionGuard.NEVER;
    }

    private static long retryAllowedUntilNanos(RequestClass requestClass, Attempt attempt) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> ActionGuard.NEVER;
            case IDEMPOTENCY_KEY ->
                    attempt.sentAtNanos
                            + requestClass.deduplicationWindowNanos()
                            - ActionGuard.MAX_PROCESS_STALL_NANOS;
            case NOT_IDEMPOTENT -> attempt.sentAtNanos;
        };
    }

    /**
     * Checks a write again with a new reading of the clock, and records a violation if this process
     * stalled before the write for longer than the guard's allowance.
     */
    void verifyWritten(Attempt attempt, long sendAllowedUntilNanos) {
        long now = Clock.now();
        ActionGuard.SendDecision decision =
                guard.checkSend(
                        now - ActionGuard.MAX_PROCESS_STALL_NANOS,
                        pendingSend(now, attempt, sendAllowedUntilNanos));
        if (decision != ActionGuard.SendDecision.ALLOWED) {
            counters.recordViolation(
                    InvariantViolation.WRITTEN_AGAINST_GUARD,
                    attempt.activeRequest.clientRequest.id() + ": " + decision);
        }
        long overstatedNanos =
                now
                        + attempt.announcedTimeoutMillis * Clock.NANOS_PER_MILLISECOND
                        - attempt.activeRequest.deadlineNanos;
        if (overstatedNanos > ActionGuard.MAX_PROCESS_STALL_NANOS) {
            counters.recordViolation(
                    InvariantViolation.DEADLINE_OVERSTATED,
                    attempt.activeRequest.clientRequest.id()
                            + ": timeout sent to the server ends "
                            + overstatedNanos / Clock.NANOS_PER_MILLISECOND
                            + " ms after the deadline");
        }
    }
}
