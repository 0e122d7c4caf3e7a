package frostrelay.node.proxy;

/**
 * An event for the policy. Frequent events are classes of their own: without the second compiler,
 * which this program does not load, a capturing lambda is made through a slow call into the JVM
 * each time.
 */
abstract class PolicyEvent {
    /** The request that the event is about; null if it is about none. */
    final ActiveRequest activeRequest;

    PolicyEvent(ActiveRequest activeRequest) {
        this.activeRequest = activeRequest;
    }

    /** Passes the event to the policy. */
    abstract void dispatch();
}
