package frostrelay.node.proxy;

import frostrelay.healthreports.AttemptObservation;
import frostrelay.node.config.Config;
import frostrelay.node.config.EndpointList;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.ResponseSource;

import java.util.List;
import java.util.Set;

/**
 * Is notified of the state that decisions are based on, just before it is applied, and of the
 * decisions. Called on the event loop. All methods have defaults that do nothing.
 */
public interface DecisionObserver {
    /** Ignores everything. */
    DecisionObserver NONE = new DecisionObserver() {};

    /** An update of the endpoint list is applied; one that failed changes nothing. */
    default void onEndpointList(
            EndpointUpdateMode mode, long revision, List<EndpointList.Endpoint> members) {}

    /** A configuration is applied. */
    default void onConfig(Config config) {}

    /** Operators drain these servers now, by their names in the endpoint list. */
    default void onAdminDrains(Set<String> names) {}

    /** A configuration was invalid and is not applied. */
    default void onConfigRejected(String reason) {}

    /** The number of the applied version that decisions are made under now. */
    default int versionSequence() {
        return 0;
    }

    /** The number of a cache server in these events. */
    default int cacheNumber(String uid) {
        return 0;
    }

    /**
     * An attempt is about to be written.
     *
     * @param versionSequence the applied version that it was decided on under
     * @param cache the {@link #cacheNumber} of its server
     * @param hedged whether an earlier attempt of the request is still in flight
     */
    default void onAttemptSent(
            int versionSequence, int cache, int attempt, boolean hedged, ClientRequest request) {}

    /**
     * An attempt has ended and shows this of its server's health.
     *
     * @param cache the id of its server in the endpoint list
     * @param sentAtNanos when the attempt was started
     */
    default void onAttemptObserved(long cache, AttemptObservation observation, long sentAtNanos) {}

    /** A request is accepted, which the client may have marked as a retry. */
    default void onRequestAccepted(boolean clientRetry) {}

    /** An attempt that was written has ended. */
    default void onAttemptCompleted(AttemptResult result, ResponseSource source) {}

    /** A request is rejected. */
    default void onRequestRejected() {}

    /** A request is given up, of which an attempt may have run. */
    default void onRequestFailed() {}
}
