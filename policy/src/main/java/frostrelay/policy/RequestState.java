package frostrelay.policy;

import frostrelay.policy.api.Request;
import frostrelay.policy.api.RequestClass;

/** A request from its arrival until the outcome of its last attempt has been reported. */
final class RequestState {
    /** A time later than any other, for events that are not due. */
    static final long NEVER = Long.MAX_VALUE;

    /** One attempt of the request at a server. */
    static final class Attempt {
        final TrackedServer server;
        final long sentAtNanos;
        boolean isPending = true;

        /** Set if the outcome proves that the server never executed the attempt. */
        boolean neverRan;

        /** Set if an attempt sent later was answered first. */
        boolean wasOvertaken;

        Attempt(TrackedServer server, long sentAtNanos) {
            this.server = server;
            this.sentAtNanos = sentAtNanos;
        }
    }

    final Request request;

    /** The request's class as configured at its arrival. */
    final RequestClass requestClass;

    /** The request's work, in units of a typical request's. */
    final double cost;

    /** Time after which an answer has no value. */
    final long usefulUntilNanos;

    /** Attempts in the order of sending; the first {@link #attemptCount} are set. */
    final Attempt[] attempts;

    int attemptCount;
    int pendingCount;

    /** Set once the request has its final answer. */
    boolean isCompleted;

    /** Set once the request was sent to the origin or a cache missed; it is not hedged then. */
    boolean needsOrigin;

    /** Set once the answer is being streamed to the client. */
    boolean isStreaming;

    /** Set if the request has found no server because it is too heavy for those in slow start. */
    boolean isTooHeavy;

    /** Set while the request waits for earlier requests with its key. */
    boolean isQueued;

    /** Time at which the hedged request is due, {@link #NEVER} if there is none. */
    long hedgeAtNanos = NEVER;

    /** Time at which a missing answer counts as slow, {@link #NEVER} if it already did. */
    long slowAtNanos = NEVER;

    /** Time of the request's current alarm; alarms for any other time are superseded. */
    long alarmAtNanos;

    RequestState(
            Request request, RequestClass requestClass, double cost, long now, int maxAttempts) {
        this.request = request;
        this.requestClass = requestClass;
        this.cost = cost;
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

    /** Returns whether both the given limit and the one at arrival allow another attempt. */
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

    /** Marks the pending attempts that were sent before this one as overtaken. */
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
