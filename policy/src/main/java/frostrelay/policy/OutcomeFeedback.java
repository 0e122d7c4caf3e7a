package frostrelay.policy;

import frostrelay.policy.RequestState.Attempt;
import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.ResponseSource;

/**
 * Derives load signals from the outcomes of attempts: for {@link AdmissionControl} from the caches'
 * answers, for {@link OriginFetchLimiter} from the requests that reached the origin.
 */
final class OutcomeFeedback {
    /** Utilization below which a rejection by the server has another reason than load. */
    private static final double IDLE_UTILIZATION = 0.5;

    /** Load signal of an answer within its latency objective. */
    private static final double SUCCESS_SIGNAL = 1;

    private PolicySettings settings;
    private final ServerHealth health;
    private final ServerSelector selector;
    private final AdmissionControl admission;
    private final OriginFetchLimiter originFetches;

    /** Set once an answer has carried a load report. */
    private boolean hasSeenLoadReports;

    OutcomeFeedback(
            PolicySettings settings,
            ServerHealth health,
            ServerSelector selector,
            AdmissionControl admission,
            OriginFetchLimiter originFetches) {
        this.settings = settings;
        this.health = health;
        this.selector = selector;
        this.admission = admission;
        this.originFetches = originFetches;
    }

    void onSettings(PolicySettings newSettings) {
        settings = newSettings;
    }

    /**
     * Returns whether the server rejected the attempt although it reports spare capacity. If such
     * rejections counted as load, a few misbehaving servers would cause most requests to be shed
     * while other servers are idle.
     */
    boolean isIdleRejection(AttemptOutcome outcome) {
        if (outcome.result() != AttemptResult.REJECTED) {
            return false;
        }
        float[] loadReport = outcome.loadReport();
        int index = settings.loadReportLayout().utilization();
        return index >= 0 && index < loadReport.length && loadReport[index] < IDLE_UTILIZATION;
    }

    /** Records an outcome; {@code idleRejection} is the result of {@link #isIdleRejection}. */
    void record(
            long now,
            RequestState state,
            Attempt attempt,
            AttemptOutcome outcome,
            boolean idleRejection) {
        AttemptResult result = outcome.result();
        long durationNanos = now - attempt.sentAtNanos;
        if (state.isSerialized() && !result.neverRan) {
            admission.recordWriteDuration(durationNanos);
        }
        boolean isFast = durationNanos < admission.slowAfterNanos(state.requestClass);
        boolean isFull =
                !lacksExpectedLoadReport(outcome.loadReport())
                        && result == AttemptResult.REJECTED
                        && !idleRejection;
        boolean isOrigin = health.isOrigin(attempt.server);
        if (!isOrigin && (isFull || isFast && result.answered())) {
            recordCacheLoad(now, state, result);
        }
        boolean isLate =
                durationNanos > state.requestClass.latencyObjectiveNanos()
                        || outcome.source() == ResponseSource.CACHE && !isFast;
        if (isOrigin && result != AttemptResult.CANCELLED) {
            recordOriginAnswer(result, isLate);
        } else if (!settings.lookAside()) {
            recordFetch(now, state, attempt, outcome, isLate);
        }
    }

    /**
     * Returns whether an answer lacks the load report that other answers carry, in which case a
     * rejection has another cause than a full queue. Otherwise a balancer that is late itself, and
     * whose clients have given up in the meantime, would shed nearly all requests. The cost is that
     * overload is detected only by slow answers if servers omit reports while they are busy.
     */
    private boolean lacksExpectedLoadReport(float[] loadReport) {
        hasSeenLoadReports |= loadReport.length > 0;
        return hasSeenLoadReports && loadReport.length == 0;
    }

    private void recordCacheLoad(long now, RequestState state, AttemptResult result) {
        // A full cache while the origin has capacity indicates a hot key, not a full fleet.
        double rejectionSignal =
                selector.isOriginFast(state)
                        ? AdmissionControl.SLOWNESS_SIGNAL
                        : AdmissionControl.REJECTION_SIGNAL;
        admission.recordLoadSignal(now, result.answered() ? SUCCESS_SIGNAL : rejectionSignal);
    }

    private void recordOriginAnswer(AttemptResult result, boolean isLate) {
        // A late answer counts as failed, as a queue at the origin makes every fetch late.
        boolean failed = result != AttemptResult.OK || isLate;
        originFetches.scaleAdmittedFraction(
                failed ? OriginFetchLimiter.FAILURE_FACTOR : OriginFetchLimiter.SUCCESS_FACTOR);
    }

    private void recordFetch(
            long now, RequestState state, Attempt attempt, AttemptOutcome outcome, boolean isLate) {
        boolean failed = outcome.result() == AttemptResult.ERROR;
        if (!failed && outcome.result() != AttemptResult.OK) {
            return; // Other results, such as timeouts, may have causes other than the origin.
        }
        long key = state.request.key();
        if (state.request.write()) {
            originFetches.onWriteCompleted(key, failed);
        } else {
            originFetches.onReadCompleted(
                    now, key, attempt.server, failed, outcome.source(), isLate);
        }
    }
}
