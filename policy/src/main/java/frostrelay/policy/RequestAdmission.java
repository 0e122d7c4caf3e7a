package frostrelay.policy;

import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Request;

/** Decides whether to admit an arriving request, and the Retry-After of a rejected one. */
final class RequestAdmission {
    private PolicySettings settings;
    private final AdmissionControl admission;
    private final OriginFetchLimiter originFetches;
    private final SeededRandom random;

    RequestAdmission(
            PolicySettings settings,
            AdmissionControl admission,
            OriginFetchLimiter originFetches,
            SeededRandom random) {
        this.settings = settings;
        this.admission = admission;
        this.originFetches = originFetches;
        this.random = random;
    }

    void onSettings(PolicySettings newSettings) {
        settings = newSettings;
    }

    /** Returns whether the request is admitted. */
    boolean admits(long now, RequestState state, boolean isOverQuota) {
        if (isTooLate(now, state)) {
            return false;
        }
        Request request = state.request;
        if (needsOrigin(now, request)
                && !originFetches.admits(request.write(), random.nextUniform())) {
            return false;
        }
        return !admission.shouldShed(isOverQuota, request.write(), random.nextUniform());
    }

    /** Returns the Retry-After of a request that was not admitted. */
    long retryAfterNanos(long now, RequestState state, boolean isOverQuota) {
        return isOverQuota || isTooLate(now, state)
                ? settings.maxRetryAfterNanos()
                : admission.retryAfterNanos(state.requestClass, random.nextUniform());
    }

    private static boolean isTooLate(long now, RequestState state) {
        return state.usefulUntilNanos <= now;
    }

    private boolean needsOrigin(long now, Request request) {
        return request.write()
                || !settings.lookAside()
                        && originFetches.isFailing()
                        && !originFetches.mayBeCached(now, request.key());
    }
}
