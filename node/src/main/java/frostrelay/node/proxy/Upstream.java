package frostrelay.node.proxy;

import frostrelay.node.config.CurrentSettings;
import frostrelay.node.config.EndpointList;
import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointUpdateMode;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** Where attempts go: hosts of one kind, and the connections to them. Runs on the event loop. */
public interface Upstream {
    /**
     * Hears how attempts end, but for those that were abandoned; {@code value}: what is still
     * coming, or null.
     */
    interface Listener {
        /**
         * Whether an attempt may be written now to a host to which the last send may begin by
         * {@code sendAllowedUntilNanos}.
         */
        ActionGuard.SendDecision maySend(Attempt attempt, long sendAllowedUntilNanos);

        /**
         * How long the host of an attempt is told that it is waited for, in nanoseconds, if it is
         * written now.
         */
        long remainingTimeoutNanos(Attempt attempt);

        /** An attempt is written to the host that the listener numbered so. */
        void onWriteStarted(Attempt attempt, int serverNumber);

        /** The write of an attempt has been handed to the system. */
        void onWritten(Attempt attempt, long sendAllowedUntilNanos);

        /** The number that a host is to be told of by, {@code uid} being its name in the list. */
        int serverNumber(String uid);

        void onAttemptCompleted(
                Attempt attempt,
                AttemptResult reason,
                UpstreamResponse response,
                ValueStream value);
    }

    /** Makes a backend for a balancer's hosts. */
    interface Factory {
        Upstream create(CurrentSettings currentSettings, Listener listener);
    }

    /** What carries an attempt. */
    interface AttemptConnection {
        /** Whether the attempt's last byte has left: from then on it may run. */
        boolean isWritten();
    }

    /** Applies a list before the module sees it, so that every host it may name is known here. */
    void update(EndpointUpdateMode mode, List<EndpointList.Endpoint> members);

    /** Operators hold these hosts out of use, all of them and no others. */
    void setDrainedServers(Set<Long> servers);

    /** Whether the list names the host, or did so within the last minute. */
    boolean isKnown(long serverId);

    void send(Attempt attempt, long serverId);

    /** Ends the wait for an attempt. */
    void abandon(Attempt attempt);

    void closeIdleConnections(long serverId);

    /** From now on so many connections are held at most; idle ones make room. */
    void setMaxConnections(int maxConnections);

    /** Retires what was idle for too long; called once in a while. */
    void sweep();

    /** Connections that are held. */
    int connectionCount();

    void collectGauges(Map<String, Object> gauges);
}
