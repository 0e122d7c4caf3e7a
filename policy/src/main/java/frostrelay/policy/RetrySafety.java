package frostrelay.policy;

import frostrelay.policy.RequestState.Attempt;
import frostrelay.policy.api.DeduplicationScope;
import frostrelay.policy.api.Idempotency;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.RequestClass;

/**
 * Decides whether a further attempt or a client's retry is safe, that is, cannot execute a request
 * twice. It must be safe under both the class settings at the request's arrival and the current
 * ones, as servers and clients may use either.
 */
final class RetrySafety {
    /** Usable fraction of the deduplication window; the rest allows for network delays. */
    private static final double WINDOW_SAFETY = 0.9;

    private PolicySettings settings;

    RetrySafety(PolicySettings settings) {
        this.settings = settings;
    }

    void onSettings(PolicySettings newSettings) {
        settings = newSettings;
    }

    /** Returns whether another attempt may go to this server. */
    boolean maySendAnother(long now, RequestState state, TrackedServer server) {
        if (state.pendingCount > 0 && !settings.hedgingAllowed()) {
            return false;
        }
        Attempt first = state.firstPossiblyExecuted();
        return first == null
                || mayRepeat(now, state.requestClass, first, server)
                        && mayRepeat(now, currentClass(state), first, server);
    }

    private boolean mayRepeat(
            long now, RequestClass requestClass, Attempt first, TrackedServer server) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case NOT_IDEMPOTENT -> false;
            case IDEMPOTENCY_KEY ->
                    isWithinWindow(now, requestClass, first)
                            && isWithinScope(requestClass.deduplicationScope(), first, server);
        };
    }

    /** Returns whether a send now arrives while servers still recognize the first attempt. */
    private boolean isWithinWindow(long now, RequestClass requestClass, Attempt first) {
        return now + settings.connectTimeoutNanos() - first.sentAtNanos
                <= requestClass.deduplicationWindowNanos() * WINDOW_SAFETY;
    }

    private static boolean isWithinScope(
            DeduplicationScope scope, Attempt first, TrackedServer server) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.server.zone == server.zone;
            case CELL -> first.server.cell == server.cell;
        };
    }

    /** Returns whether the request may be rejected, which tells the client that a retry is safe. */
    boolean mayReject(RequestState state) {
        return state.firstPossiblyExecuted() == null
                || isSafeForClientRetry(state.requestClass)
                        && isSafeForClientRetry(currentClass(state));
    }

    private static boolean isSafeForClientRetry(RequestClass requestClass) {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    private RequestClass currentClass(RequestState state) {
        return settings.classes().get(state.request.requestClass());
    }
}
