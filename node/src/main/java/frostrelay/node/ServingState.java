package frostrelay.node;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.lifecycle.DrainSchedule;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.time.Clock;

/**
 * The phase of a node (starting, serving, draining or stopping) and the transitions between these
 * phases. Passes the schedule of a drain or shutdown on to the {@link ActionGuard}. Owned by the
 * event loop.
 */
final class ServingState {
    private enum Phase {
        STARTING,
        SERVING,
        DRAINING,
        STOPPING
    }

    private final ActionGuard actionGuard;
    private Phase phase = Phase.STARTING;

    /** Draining because this balancer's endpoint list or configuration is stale. */
    private boolean isDrainedAsStale;

    ServingState(ActionGuard actionGuard) {
        this.actionGuard = actionGuard;
    }

    /** Returns whether this process serves: started, and neither draining nor stopping. */
    boolean isServing() {
        return phase == Phase.SERVING;
    }

    /** Enters the serving phase when the node starts to listen for clients. */
    void onListening() {
        phase = Phase.SERVING;
    }

    /** Starts to drain; does nothing unless serving. */
    void startDrain() {
        if (phase == Phase.SERVING) {
            Log.write(Event.DRAIN_STARTED);
            phase = Phase.DRAINING;
            actionGuard.setSchedule(DrainSchedule.forDrain(Clock.now()));
        }
    }

    /** Ends a drain of any cause; does nothing unless draining. */
    void stopDrain() {
        isDrainedAsStale = false;
        if (phase == Phase.DRAINING) {
            Log.write(Event.DRAIN_ENDED);
            phase = Phase.SERVING;
            actionGuard.setSchedule(null);
        }
    }

    /** Starts or ends the drain due to staleness; does not end an administrator's drain. */
    void setDrainedAsStale(boolean isStale) {
        if (isStale && phase == Phase.SERVING) {
            isDrainedAsStale = true;
            startDrain();
        } else if (!isStale && isDrainedAsStale) {
            stopDrain();
        }
    }

    /** Starts the shutdown, which cannot be cancelled. */
    void startShutdown(DrainSchedule schedule) {
        phase = Phase.STOPPING;
        actionGuard.setSchedule(schedule);
    }
}
