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
 * An observer of routing decisions and of the state that they are based on. Changes of state are
 * reported immediately before they are applied. Called on the event loop. All methods have defaults
 * that do nothing.
 */
public interface DecisionObserver {
    /** An observer that ignores all calls. */
    DecisionObserver NONE = new DecisionObserver() {};

    /** Called before an update of the endpoint list is applied. A failed update changes nothing. */
    default void onEndpointList(
            EndpointUpdateMode mode, long revision, List<EndpointList.Endpoint> members) {}

    /** Called before a configuration is applied. */
    default void onConfig(Config config) {}

    /**
     * Called before the set of administratively drained servers is replaced. They are identified by
     * their names in the endpoint list.
     */
    default void onAdminDrains(Set<String> names) {}

    /** Called when a configuration is invalid and is not applied. */
    default void onConfigRejected(String reason) {}

    /** Returns the sequence number of the applied version that decisions are currently based on. */
    default int versionSequence() {
        return 0;
    }

    /** Returns the number that identifies a cache server in these events. */
    default int cacheNumber(String uid) {
        return 0;
    }

    /**
     * Called immediately before an attempt is written.
     *
     * @param versionSequence the sequence number of the applied version under which the policy
     *     decided on the attempt
     * @param cache the {@link #cacheNumber} of its server
     * @param hedged whether an earlier attempt of the request is still in flight
     */
    default void onAttemptSent(
            int versionSequence, int cache, int attempt, boolean hedged, ClientRequest request) {}

    /**
     * Called when the outcome of an attempt indicates something about its server's health.
     *
     * @param cache the id of its server in the endpoint list
     * @param sentAtNanos when the attempt was started
     */
    default void onAttemptObserved(long cache, AttemptObservation observation, long sentAtNanos) {}

    /**
     * Called before a request is passed to the policy.
     *
     * @param clientRetry whether the client has marked the request as a retry
     */
    default void onRequestAccepted(boolean clientRetry) {}

    /** Called when an attempt that was written has ended. */
    default void onAttemptCompleted(AttemptResult result, ResponseSource source) {}

    /** Called when a request is rejected by the policy or by this process. */
    default void onRequestRejected() {}

    /** Called when a request fails after an attempt that may have run. */
    default void onRequestFailed() {}
}
