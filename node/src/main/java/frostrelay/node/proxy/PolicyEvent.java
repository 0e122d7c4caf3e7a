package frostrelay.node.proxy;

/**
 * An event for the policy. Each frequent event has its own class: this program runs without the C2
 * compiler, and without it each creation of a capturing lambda makes a slow call into the JVM.
 */
abstract class PolicyEvent {
    /** The request that the event concerns; null if there is none. */
    final ActiveRequest activeRequest;

    PolicyEvent(ActiveRequest activeRequest) {
        this.activeRequest = activeRequest;
    }

    /** Passes the event to the policy. */
    abstract void dispatch();
}
