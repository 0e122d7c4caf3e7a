package frostrelay.policy.api;

import java.util.List;
import java.util.Set;

/**
 * Notifications to the decision module. All times are nanoseconds of the caller's clock. All
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

    /** The client disconnected; its request no longer needs an answer. */
    void onClientDisconnect(long now, long request);

    /** A timer set by {@link PolicyActions#scheduleTimer} is due. */
    void onTimer(long now, int token);

    /**
     * The set of servers under administrative drain changed to exactly these, regardless of their
     * state in the endpoint list. A server whose drain ends may have been restarted in the
     * meantime.
     */
    void onAdminDrains(long now, Set<Long> drainedServers);

    /**
     * The set of outliers changed to exactly these servers, as reported by a quorum of peers that
     * the caller has checked. Reports are advisory: traffic to outliers is reduced, not stopped.
     */
    void onPeerHealthReports(long now, Set<Long> outliers);

    /**
     * The settings changed. A class or tenant keeps its index for the lifetime of the module, even
     * when it is no longer configured, because its open requests continue.
     */
    void onSettings(long now, PolicySettings settings);

    /**
     * The number of other processes of the same balancer that are serving changed. It is above 0
     * while an upgrade is in progress.
     */
    void onSiblingProcesses(long now, int siblingCount);

    /** Returns what the servers in slow start get from this balancer, for diagnosis. */
    default List<SlowStartStatus> slowStartStatus(long now) {
        return List.of();
    }
}
