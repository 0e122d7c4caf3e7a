package frostrelay.node.proxy;

import frostrelay.healthreports.AttemptObservation;
import frostrelay.node.config.Config;
import frostrelay.node.config.EndpointList;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.ResponseSource;

import java.util.List;
import java.util.Set;

/** Hears what a balancer acts on, just before it does, and what it does. On the event loop. */
public interface DecisionObserver {
    /** Where nobody wants to know. */
    DecisionObserver NONE = new DecisionObserver() {};

    /** The list is applied; what failed changes nothing. */
    default void onEndpointList(
            EndpointUpdateMode mode, long revision, List<EndpointList.Endpoint> members) {}

    default void onConfig(Config config) {}

    /** Operators hold these out of use, by the names that the list has for them. */
    default void onAdminDrains(Set<String> names) {}

    /** A configuration that was not taken. */
    default void onConfigRejected(String reason) {}

    /** The number of the stamp that decisions are made under now. */
    default int versionSequence() {
        return 0;
    }

    /** The number that a cache goes by here. */
    default int cacheNumber(String uid) {
        return 0;
    }

    /**
     * An attempt is written; {@code versionSequence}: the stamp it was decided on under; {@code
     * hedged}: another is still out.
     */
    default void onAttemptSent(
            int versionSequence, int cache, int attempt, boolean hedged, ClientRequest request) {}

    /**
     * An attempt at a cache, begun at {@code sentAtNanos}, has ended and told this of it; {@code
     * cache}: its number on the list.
     */
    default void onAttemptObserved(long cache, AttemptObservation observation, long sentAtNanos) {}

    /** A request is taken; {@code clientRetry}: its client asked before. */
    default void onRequestAccepted(boolean clientRetry) {}

    /** An attempt that was written has ended. */
    default void onAttemptCompleted(AttemptResult result, ResponseSource source) {}

    /** A request is refused by decision. */
    default void onRequestRejected() {}

    /** A request is given up by decision. */
    default void onRequestFailed() {}
}
