package frostrelay.node.proxy;

import frostrelay.node.config.CurrentSettings;
import frostrelay.node.config.EndpointList;
import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointUpdateMode;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** The servers that attempts are sent to, and the connections to them. Runs on the event loop. */
public interface Upstream {
    /** Decides whether attempts may be written, and is notified of their progress. */
    interface Listener {
        /**
         * Whether an attempt may be written now.
         *
         * @param sendAllowedUntilNanos the last moment at which a send to its server may start
         */
        ActionGuard.SendDecision maySend(Attempt attempt, long sendAllowedUntilNanos);

        /**
         * The timeout in nanoseconds that the server of an attempt is given, if it is written now.
         */
        long remainingTimeoutNanos(Attempt attempt);

        /** An attempt is about to be written to the server with this {@link #serverNumber}. */
        void onWriteStarted(Attempt attempt, int serverNumber);

        /** The write of an attempt has been passed to the operating system. */
        void onWritten(Attempt attempt, long sendAllowedUntilNanos);

        /** The number of a server in events, given its name in the endpoint list. */
        int serverNumber(String uid);

        /**
         * An attempt has ended that was not abandoned.
         *
         * @param response what the server answered; null if nothing
         * @param value a long value that is still being received; else null
         */
        void onAttemptCompleted(
                Attempt attempt,
                AttemptResult reason,
                UpstreamResponse response,
                ValueStream value);
    }

    /** Creates an upstream. */
    interface Factory {
        /** The upstream reports to this listener, but not before this method has returned. */
        Upstream create(CurrentSettings currentSettings, Listener listener);
    }

    /** A connection that carries an attempt. */
    interface AttemptConnection {
        /** Whether the attempt's last byte has been sent: from then on it may run. */
        boolean isWritten();
    }

    /** Applies a list before the policy sees it, so that every server it may choose is known. */
    void update(EndpointUpdateMode mode, List<EndpointList.Endpoint> members);

    /** Replaces the set of servers that are drained in addition to what the list says. */
    void setDrainedServers(Set<Long> servers);

    /** Whether the list names the server, or did so within the last minute. */
    boolean isKnown(long serverId);

    /** Sends an attempt; if that is not possible, it is reported as completed at once. */
    void send(Attempt attempt, long serverId);

    /** Stops waiting for an attempt, which is not reported any more. */
    void abandon(Attempt attempt);

    /** Closes the idle connections to a server. */
    void closeIdleConnections(long serverId);

    /** Changes the limit on connections; idle ones above it are closed. */
    void setMaxConnections(int maxConnections);

    /** Closes connections that are idle for too long. To be called several times a second. */
    void sweep();

    /** Connections that are open or being opened. */
    int connectionCount();

    /** Adds the gauges of servers and connections. */
    void collectGauges(Map<String, Object> gauges);
}
