package eiderscale.console;

/** What operators may ask of a balancer. Calls come on its event loop; repeating one is harmless. */
public interface Operations {
    /** Whether this process is ready to serve. */
    boolean ready();

    /** Sends clients away until {@link #stopDrain}. */
    void startDrain();

    /** Takes clients again. */
    void stopDrain();
}
