package frostrelay.policy.api;

import java.util.List;
import java.util.Set;

/** PolicyEvents in. All times are nanoseconds of the caller's clock. */
public interface PolicyEvents {
    /** The server list changed, or a call for it failed. */
    void onEndpointUpdate(long now, EndpointUpdateMode mode, List<Server> servers);

    /** A client request arrived; one final answer is owed from here on. */
    void onRequest(long now, Request request);

    /** An attempt ended. Unknown requests are passed over. */
    void onAttemptOutcome(long now, AttemptOutcome outcome);

    /** A streamed answer began. */
    void onFirstByte(long now, long request, int attempt);

    /** The client left; nothing is owed any more. */
    void onClientDisconnect(long now, long request);

    /** A timer set by {@link PolicyActions#scheduleTimer} is due. */
    void onTimer(long now, int token);

    /**
     * Operators hold these servers out of use, all of them and no others, whatever the list says.
     * One that is let go may have been restarted meanwhile.
     */
    void onAdminDrains(long now, Set<Long> drainedServers);

    /**
     * What the fleet knows of its servers: exactly these are found bad by others, as far as that is
     * to be gone by. Advice: their traffic is lowered, not ended.
     */
    void onPeerHealthReports(long now, Set<Long> outliers);

    /**
     * New settings hold from now on. A class or tenant keeps its number for the life of the module,
     * also one that is no longer named: its open requests go on.
     */
    void onSettings(long now, PolicySettings settings);

    /**
     * So many further processes of this balancer serve beside this one: an upgrade is under way.
     */
    void onSiblingProcesses(long now, int siblingCount);
}
