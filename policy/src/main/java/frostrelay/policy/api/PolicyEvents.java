package frostrelay.policy.api;

import java.util.List;
import java.util.Set;

/**
 * What the decision module is notified of. All times are nanoseconds of the caller's clock. All
 * methods are called on one thread.
 */
public interface PolicyEvents {
    /** The endpoint list changed, or a call for it failed. */
    void onEndpointUpdate(long now, EndpointUpdateMode mode, List<Server> servers);

    /** A client request arrived; it gets exactly one final answer. */
    void onRequest(long now, Request request);

    /** An attempt ended. Outcomes of unknown requests or attempts are ignored. */
    void onAttemptOutcome(long now, AttemptOutcome outcome);

    /** The first byte of a streamed answer arrived. */
    void onFirstByte(long now, long request, int attempt);

    /** The client disconnected; its request needs no answer any more. */
    void onClientDisconnect(long now, long request);

    /** A timer set by {@link PolicyActions#scheduleTimer} is due. */
    void onTimer(long now, int token);

    /**
     * Operators drain exactly these servers, whatever the endpoint list says. A server whose drain
     * ends may have been restarted meanwhile.
     */
    void onAdminDrains(long now, Set<Long> drainedServers);

    /**
     * Peers consider exactly these servers to be outliers, according to a quorum that the caller
     * has checked. The report is advice: traffic to outliers is reduced, not stopped.
     */
    void onPeerHealthReports(long now, Set<Long> outliers);

    /**
     * New settings apply from now on. A class or tenant keeps its index for the lifetime of the
     * module, also when it is no longer configured: its open requests continue.
     */
    void onSettings(long now, PolicySettings settings);

    /**
     * This many further processes of the same balancer serve beside this one: an upgrade is in
     * progress.
     */
    void onSiblingProcesses(long now, int siblingCount);
}
