package frostrelay.node.proxy;

import frostrelay.node.config.EndpointList;
import frostrelay.node.discovery.ServerStartTimes;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.Server;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * Applies endpoint lists and drains to the upstream and the policy. A server may be drained by the
 * list, by an operator at this process, by a peer's newer list, or by an operator at a peer. Runs
 * on the event loop.
 */
final class EndpointUpdates {
    private final DecisionObserver observer;
    private final Upstream upstream;
    private final PolicyEventQueue events;
    private final PolicyEvents policy;

    /** Unix time in milliseconds, which may jump. Discovery reports start times in Unix time. */
    private final LongSupplier wallClockMillis;

    private final ServerStartTimes startTimes = new ServerStartTimes();

    /**
     * The servers as listed by discovery, with their start times converted to this process's clock.
     */
    private final Map<Long, Server> listedServers = new HashMap<>();

    private Set<Long> locallyDrained = Set.of();
    private Set<Long> drainedByPeers = Set.of();

    /** Servers that are drained according to newer lists of peers. */
    private Set<Long> avoidedServers = Set.of();

    EndpointUpdates(
            DecisionObserver observer,
            Upstream upstream,
            PolicyEventQueue events,
            PolicyEvents policy,
            LongSupplier wallClockMillis) {
        this.observer = observer;
        this.upstream = upstream;
        this.events = events;
        this.policy = policy;
        this.wallClockMillis = wallClockMillis;
    }

    /** Applies an update of the endpoint list. A failed update changes no server. */
    void apply(EndpointUpdateMode mode, long revision, List<EndpointList.Endpoint> members) {
        observer.onEndpointList(mode, revision, members);
        upstream.update(mode, members);
        boolean isFullList = mode == EndpointUpdateMode.FULL || mode == EndpointUpdateMode.CACHED;
        if (isFullList) {
            listedServers.clear();
        }
        if (mode != EndpointUpdateMode.FAILED) {
            startTimes.onEndpointList(
                    Clock.now(), wallClockMillis.getAsLong() * Clock.NANOS_PER_MILLISECOND);
        }
        List<Server> localServers =
                members.stream()
                        .map(EndpointList.Endpoint::server)
                        .map(this::withLocalStartTime)
                        .toList();
        localServers.forEach(server -> listedServers.put(server.id(), server));
        if (isFullList) {
            startTimes.retainOnly(listedServers.keySet());
        }
        List<Server> servers = localServers.stream().map(this::withPeerDrains).toList();
        events.post(null, () -> policy.onEndpointUpdate(Clock.now(), mode, servers));
    }

    /**
     * Replaces the set of servers that are administratively drained at this process, given by their
     * names in the endpoint list.
     */
    void setAdminDrains(Set<String> names) {
        Set<Long> servers = new HashSet<>();
        names.forEach(name -> servers.add(EndpointList.serverId(name)));
        observer.onAdminDrains(names);
        locallyDrained = servers;
        applyDrains();
    }

    /**
     * Replaces the sets of servers that are drained by newer lists of peers and by operators at
     * peers.
     */
    void setPeerDrains(Set<Long> servers, Set<Long> adminDrainedByPeers) {
        Set<Long> changed = new TreeSet<>(avoidedServers);
        changed.addAll(servers);
        changed.removeIf(
                id ->
                        avoidedServers.contains(id) == servers.contains(id)
                                || !listedServers.containsKey(id));
        avoidedServers = servers;
        drainedByPeers = adminDrainedByPeers;
        List<Server> entries =
                changed.stream().map(listedServers::get).map(this::withPeerDrains).toList();
        events.post(
                null,
                () -> policy.onEndpointUpdate(Clock.now(), EndpointUpdateMode.DELTA, entries));
        applyDrains();
    }

    private void applyDrains() {
        Set<Long> unusable = new HashSet<>(locallyDrained);
        unusable.addAll(drainedByPeers);
        Set<Long> adminDrained = Set.copyOf(unusable);
        unusable.addAll(avoidedServers);
        upstream.setDrainedServers(Set.copyOf(unusable));
        events.post(null, () -> policy.onAdminDrains(Clock.now(), adminDrained));
    }

    /** Returns a listed server with its start time converted to this process's clock. */
    private Server withLocalStartTime(Server listedServer) {
        if (listedServer.state() == EndpointState.REMOVED) {
            startTimes.forget(listedServer.id());
            return listedServer;
        }
        return new Server(
                listedServer.id(),
                listedServer.zone(),
                listedServer.kind(),
                listedServer.cell(),
                listedServer.state(),
                listedServer.weight(),
                startTimes.toLocalStart(listedServer.id(), listedServer.startedAtNanos()));
    }

    /**
     * Returns a server with the state {@code DRAINING} if it is ready here but drained in a newer
     * list of a peer; otherwise unchanged.
     */
    private Server withPeerDrains(Server server) {
        return server.state() != EndpointState.READY || !avoidedServers.contains(server.id())
                ? server
                : new Server(
                        server.id(),
                        server.zone(),
                        server.kind(),
                        server.cell(),
                        EndpointState.DRAINING,
                        server.weight(),
                        server.startedAtNanos());
    }
}
