package frostrelay.node.proxy;

import frostrelay.node.config.CurrentSettings;
import frostrelay.node.config.EndpointList;
import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointUpdateMode;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The cache servers that attempts are sent to, with the connections to them. Runs on the event
 * loop.
 */
public interface Upstream {
    /**
     * A listener that decides whether attempts may be written and is notified of their progress.
     */
    interface Listener {
        /**
         * Returns whether an attempt may be written now.
         *
         * @param sendAllowedUntilNanos the latest time at which a send to the server may start
         */
        ActionGuard.SendDecision maySend(Attempt attempt, long sendAllowedUntilNanos);

        /**
         * Returns the timeout in nanoseconds to send to the server if the attempt is written now.
         */
        long remainingTimeoutNanos(Attempt attempt);

        /**
         * Called immediately before an attempt is written to the server with this {@link
         * #serverNumber}.
         */
        void onWriteStarted(Attempt attempt, int serverNumber);

        /** Called when the write of an attempt has been handed to its channel. */
        void onWritten(Attempt attempt, long sendAllowedUntilNanos);

        /**
         * Returns the number that identifies a server in events, given its name in the endpoint
         * list.
         */
        int serverNumber(String uid);

        /**
         * Called when an attempt has ended without having been abandoned.
         *
         * @param response the response of the server; null if there is none
         * @param value the stream of a long value that is still being received; null for a buffered
         *     value
         */
        void onAttemptCompleted(
                Attempt attempt,
                AttemptResult result,
                UpstreamResponse response,
                ValueStream value);
    }

    /** A factory of upstreams. */
    interface Factory {
        /**
         * Creates an upstream, which does not call the listener before this method has returned.
         */
        Upstream create(CurrentSettings currentSettings, Listener listener);
    }

    /** A connection that carries an attempt. */
    interface AttemptConnection {
        /**
         * Returns whether the last byte of the attempt has been sent; from then on the server may
         * execute the request.
         */
        boolean isWritten();

        /**
         * Returns whether a response has begun to arrive and waits for memory in this process,
         * which is not the server's fault.
         */
        boolean isAwaitingMemory();
    }

    /**
     * Applies an update of the endpoint list. Must be called before the policy receives the update,
     * so that every server that the policy may choose is known.
     */
    void update(EndpointUpdateMode mode, List<EndpointList.Endpoint> members);

    /**
     * Replaces the set of servers that are drained in addition to those drained by the endpoint
     * list.
     */
    void setDrainedServers(Set<Long> servers);

    /** Returns whether the endpoint list contains the server or did so within the last minute. */
    boolean isKnown(long serverId);

    /** Sends an attempt. If it cannot be sent, it is reported as completed immediately. */
    void send(Attempt attempt, long serverId);

    /** Stops waiting for an attempt, whose end is then not reported. */
    void abandon(Attempt attempt);

    /** Closes the idle connections to a server. */
    void closeIdleConnections(long serverId);

    /** Changes the limit on connections and closes idle connections above it. */
    void setMaxConnections(int maxConnections);

    /**
     * Closes connections that have been idle for too long. Must be called several times a second.
     */
    void sweep();

    /** Returns the number of connections that are open or being opened. */
    int connectionCount();

    /** Adds the gauges of servers and connections. */
    void collectGauges(Map<String, Object> gauges);
}
