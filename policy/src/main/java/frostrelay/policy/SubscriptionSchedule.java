package frostrelay.policy;

import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicySettings;

/**
 * Schedules subscriptions to the endpoint list. Balancers that start together, or lose discovery
 * together, are staggered by their instance index.
 */
final class SubscriptionSchedule {
    /** Token of the timer at which to subscribe. */
    static final int TIMER_TOKEN = 2;

    /**
     * Time between the subscriptions of two balancers, and the upper limit of a balancer's delay.
     */
    private static final long STAGGER_NANOS = 250_000_000L;

    private static final long MAX_STAGGER_NANOS = 4_000_000_000L;

    /** Additional delay after a failed call. */
    private static final long FAILURE_PAUSE_NANOS = 200_000_000L;

    private final PolicyActions actions;
    private final SeededRandom random;

    SubscriptionSchedule(PolicyActions actions, SeededRandom random) {
        this.actions = actions;
        this.random = random;
    }

    /**
     * Schedules the timer for the next subscription. A process that takes over from another one of
     * the same balancer is not staggered unless the call failed: it starts alone, and must receive
     * changes of the list immediately.
     */
    void scheduleNext(long now, PolicySettings settings, boolean isTakeover, boolean hasFailed) {
        if (isTakeover && !hasFailed) {
            actions.scheduleTimer(now + 1, TIMER_TOKEN);
            return;
        }
        long pauseNanos = hasFailed ? FAILURE_PAUSE_NANOS : 0;
        actions.scheduleTimer(now + 1 + turnDelayNanos(settings) + pauseNanos, TIMER_TOKEN);
    }

    private long turnDelayNanos(PolicySettings settings) {
        long maxDelayNanos = Math.min(MAX_STAGGER_NANOS, settings.pollIntervalNanos() / 2);
        double position =
                (settings.instanceIndex() + random.nextUniform()) / settings.instanceCount();
        return (long)
                (position * Math.min(maxDelayNanos, settings.instanceCount() * STAGGER_NANOS));
    }
}
