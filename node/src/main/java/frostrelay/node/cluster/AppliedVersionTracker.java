package frostrelay.node.cluster;

import frostrelay.audit.AuditLog;
import frostrelay.audit.Cause;
import frostrelay.gossip.AppliedVersions;
import frostrelay.healthreports.AttemptObservation;
import frostrelay.node.config.Config;
import frostrelay.node.config.Digests;
import frostrelay.node.config.EndpointList;
import frostrelay.node.proxy.ClientRequest;
import frostrelay.node.proxy.DecisionObserver;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.ResponseSource;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * Derives the versions that this balancer acts on from its endpoint list, configuration and
 * administrative drains, and records each change in the audit log. Also passes decisions to the
 * audit log and the cluster counters.
 */
final class AppliedVersionTracker implements DecisionObserver {
    private record ListedCache(int number, boolean ready, long serverStartMillis, long digest) {}

    /** A listener for changes of the applied versions and for observations. */
    interface Listener {
        /** Called when the balancer has started to act on these versions. */
        void onVersionsApplied(AppliedVersions versions);

        /**
         * Called when operators have changed the set of drained caches, which are given by ID;
         * {@code digest}: as in the applied versions.
         */
        void onAdminDrains(long digest, Set<Long> caches);

        /**
         * Called when the endpoint list has changed, with the start times in ms and the names of
         * its ready caches, by ID.
         */
        void onReadyCaches(Map<Long, Long> ready, Map<Long, String> names);

        /** Called when an attempt that was sent at {@code sentAtNanos} ended. */
        void onAttemptObserved(long cache, AttemptObservation observation, long sentAtNanos);

        /** Returns the observer that counts requests and attempts. */
        DecisionObserver trafficObserver();

        /** Called when a cache, by ID, becomes ready or not ready with this list revision. */
        void onCacheReadiness(long revision, long cache, boolean ready);
    }

    private final AuditLog audit;
    private final LongSupplier wallClock;
    private final Listener listener;
    private final Map<String, ListedCache> listedCaches = new HashMap<>();
    private long listDigest;

    /**
     * Creates a tracker. {@code audit} was created with the initial versions; the listener is
     * notified of later ones.
     */
    AppliedVersionTracker(AuditLog audit, LongSupplier wallClock, Listener listener) {
        this.audit = audit;
        this.wallClock = wallClock;
        this.listener = listener;
    }

    /** Returns the versions that a balancer acts on before it has applied any list. */
    static AppliedVersions initialVersions(Config config, int build) {
        return new AppliedVersions(build, config.version(), config.settingsDigest(), 0, 0, 0, 0);
    }

    @Override
    public void onEndpointList(
            EndpointUpdateMode mode, long revision, List<EndpointList.Endpoint> members) {
        if (mode == EndpointUpdateMode.FAILED) {
            return;
        }
        if (mode != EndpointUpdateMode.DELTA) {
            Set<String> removed = new TreeSet<>(listedCaches.keySet());
            members.forEach(member -> removed.remove(member.uid()));
            removed.forEach(
                    uid ->
                            applyEntry(
                                    revision,
                                    uid,
                                    EndpointState.REMOVED,
                                    listedCaches.get(uid).serverStartMillis));
        }
        members.forEach(
                member ->
                        applyEntry(
                                revision,
                                member.uid(),
                                member.server().state(),
                                member.server().startedAtNanos() / Clock.NANOS_PER_MILLISECOND));
        Map<Long, Long> ready = new HashMap<>();
        Map<Long, String> names = new HashMap<>();
        listedCaches.forEach(
                (uid, listed) -> {
                    if (listed.ready) {
                        ready.put(EndpointList.serverId(uid), listed.serverStartMillis);
                        names.put(EndpointList.serverId(uid), uid);
                    }
                });
        listener.onReadyCaches(ready, names);
        AppliedVersions current = audit.appliedVersions();
        apply(
                new AppliedVersions(
                        current.buildDigest(),
                        current.configNumber(),
                        current.configDigest(),
                        revision,
                        listDigest,
                        current.adminDrainsDigest(),
                        current.termsDigest()),
                mode == EndpointUpdateMode.CACHED ? Cause.START : Cause.DISCOVERY);
    }

    /**
     * Applies one entry of a list. The list's digest is a sum, so that it does not depend on the
     * order of changes.
     */
    private void applyEntry(
            long revision, String uid, EndpointState state, long serverStartMillis) {
        ListedCache previous = listedCaches.get(uid);
        if (state == EndpointState.REMOVED && previous == null) {
            return;
        }
        long digest =
                state == EndpointState.REMOVED
                        ? 0
                        : Digests.of(uid + '|' + state + '|' + serverStartMillis);
        listDigest += digest - (previous == null ? 0 : previous.digest);
        int number = cacheNumber(uid);
        boolean ready = state == EndpointState.READY;
        if (previous == null
                || previous.ready != ready
                || previous.serverStartMillis != serverStartMillis) {
            audit.recordEndpoint(Clock.now(), number, ready, serverStartMillis);
            if (previous != null || ready) {
                listener.onCacheReadiness(revision, EndpointList.serverId(uid), ready);
            }
        }
        if (state == EndpointState.REMOVED) {
            listedCaches.remove(uid);
        } else {
            listedCaches.put(uid, new ListedCache(number, ready, serverStartMillis, digest));
        }
    }

    /** Returns the IDs of the caches that are ready in the current list. */
    Set<Long> readyCaches() {
        Set<Long> ready = new HashSet<>();
        listedCaches.forEach(
                (uid, listed) -> {
                    if (listed.ready) {
                        ready.add(EndpointList.serverId(uid));
                    }
                });
        return ready;
    }

    @Override
    public void onConfig(Config config) {
        AppliedVersions current = audit.appliedVersions();
        apply(
                new AppliedVersions(
                        current.buildDigest(),
                        config.version(),
                        config.settingsDigest(),
                        current.listRevision(),
                        current.listDigest(),
                        current.adminDrainsDigest(),
                        current.termsDigest()),
                Cause.FILE);
    }

    @Override
    public void onAdminDrains(Set<String> names) {
        AppliedVersions current = audit.appliedVersions();
        long digest = names.isEmpty() ? 0 : Digests.of(String.join("\n", new TreeSet<>(names)));
        apply(
                new AppliedVersions(
                        current.buildDigest(),
                        current.configNumber(),
                        current.configDigest(),
                        current.listRevision(),
                        current.listDigest(),
                        digest,
                        current.termsDigest()),
                Cause.OPERATORS);
        Set<Long> caches = new HashSet<>();
        names.forEach(name -> caches.add(EndpointList.serverId(name)));
        listener.onAdminDrains(digest, caches);
    }

    private void apply(AppliedVersions versions, Cause cause) {
        if (!versions.equals(audit.appliedVersions())) {
            audit.recordVersionsApplied(Clock.now(), wallClock.getAsLong(), versions, cause);
            listener.onVersionsApplied(versions);
        }
    }

    @Override
    public void onConfigRejected(String reason) {
        audit.recordRejection(Clock.now(), reason);
    }

    @Override
    public int versionSequence() {
        return audit.sequence();
    }

    @Override
    public int cacheNumber(String uid) {
        return audit.cacheNumber(Clock.now(), uid);
    }

    @Override
    public void onAttemptSent(
            int versionSequence, int cache, int attempt, boolean hedged, ClientRequest request) {
        audit.recordSend(Clock.now(), versionSequence, cache, attempt, hedged, request.id());
        listener.trafficObserver().onAttemptSent(versionSequence, cache, attempt, hedged, request);
    }

    @Override
    public void onAttemptObserved(long cache, AttemptObservation observation, long sentAtNanos) {
        listener.onAttemptObserved(cache, observation, sentAtNanos);
    }

    @Override
    public void onRequestAccepted(boolean clientRetry) {
        listener.trafficObserver().onRequestAccepted(clientRetry);
    }

    @Override
    public void onAttemptCompleted(AttemptResult result, ResponseSource source) {
        listener.trafficObserver().onAttemptCompleted(result, source);
    }

    @Override
    public void onRequestRejected() {
        audit.recordRejection();
        listener.trafficObserver().onRequestRejected();
    }

    @Override
    public void onRequestFailed() {
        audit.recordFailure();
    }
}
