package frostrelay.policy;

import frostrelay.policy.api.Request;
import frostrelay.policy.api.RequestClass;

/** A request from its arrival until the outcome of its last attempt has been reported. */
final class RequestState {
    /** A time that is never reached. */
    static final long NEVER = Long.MAX_VALUE;

    /** One attempt of the request at a server. */
    static final class Attempt {
        final TrackedServer server;
        final long sentAtNanos;
        boolean isPending = true;

        /** Known from the outcome: the server never executed the attempt. */
        boolean neverRan;

        /** An attempt sent later was answered first. */
        boolean wasOvertaken;

        Attempt(TrackedServer server, long sentAtNanos) {
            this.server = server;
            this.sentAtNanos = sentAtNanos;
        }
    }

    final Request request;

    /** The request's class as it was configured at the request's arrival. */
    final RequestClass requestClass;

    /** After this an answer has no value. */
    final long usefulUntilNanos;

    /** Attempts in the order of sending; the first {@link #attemptCount} are set. */
    final Attempt[] attempts;

    int attemptCount;
    int pendingCount;

    /** The request has its final answer. */
    boolean isCompleted;

    /** Sent to the origin, or a cache missed: no hedged request runs beside that. */
    boolean needsOrigin;

    /** The answer is being streamed to the client. */
    boolean isStreaming;

    /** Waits until earlier requests with its key are complete. */
    boolean isQueued;

    /** When the hedged request is due, {@link #NEVER} if none is. */
    long hedgeAtNanos = NEVER;

    /** When the missing answer becomes a sign of overload, {@link #NEVER} if it already did. */
    long slowAtNanos = NEVER;

    /** When the request needs attention next; alarms for any other time are superseded. */
    long alarmAtNanos;

    RequestState(Request request, RequestClass requestClass, long now, int maxAttempts) {
        this.request = request;
        this.requestClass = requestClass;
        this.usefulUntilNanos = usefulUntilNanos(request, requestClass, now);
        this.attempts = new Attempt[maxAttempts];
    }

    private static long usefulUntilNanos(Request request, RequestClass requestClass, long now) {
        if (requestClass.latePriorityWeight() > 0 || requestClass.stream()) {
            return request.deadlineNanos();
        }
        long objectiveNanos =
                requestClass.latencyObjectiveNanos()
                        + (long) (requestClass.objectiveStretchFactor() * request.work());
        return Math.min(request.deadlineNanos(), now + objectiveNanos);
    }

    /** Adds a pending attempt. */
    void addAttempt(TrackedServer server, long now) {
        attempts[attemptCount++] = new Attempt(server, now);
        pendingCount++;
    }

    /** Returns whether another attempt is within both the given limit and that of its arrival. */
    boolean hasAttemptsLeft(int maxAttempts) {
        return attemptCount < Math.min(maxAttempts, attempts.length);
    }

    /** Returns the earliest attempt that may have been executed, or null. */
    Attempt firstPossiblyExecuted() {
        for (int i = 0; i < attemptCount; i++) {
            if (!attempts[i].neverRan) {
                return attempts[i];
            }
        }
        return null;
    }

    /** Returns whether some attempt went to this server. */
    boolean hasTried(TrackedServer server) {
        for (int i = 0; i < attemptCount; i++) {
            if (attempts[i].server == server) {
                return true;
            }
        }
        return false;
    }

    /** Marks the pending ones of the attempts sent before this one as overtaken. */
    void markOvertakenBefore(int attempt) {
        for (int i = 0; i < attempt; i++) {
            attempts[i].wasOvertaken = attempts[i].isPending;
        }
    }

    /** Returns whether requests with this request's key run one at a time. */
    boolean isSerialized() {
        return requestClass.serializedByKey() && request.key() != 0;
    }
}
