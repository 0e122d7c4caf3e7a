package frostrelay.adapter;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.GossipNode;
import frostrelay.gossip.GossipSettings;
import frostrelay.gossip.Incarnation;
import frostrelay.gossip.MemberSnapshot;
import frostrelay.gossip.MemberState;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.Server;
import frostrelay.staleness.StalenessDetector;
import frostrelay.staleness.StalenessSettings;
import frostrelay.staleness.VersionKind;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.zip.CRC32C;

/**
 * Gossip of one hosted balancer with its peers through the simulator, with the same {@link
 * GossipNode} and {@link StalenessDetector} as over sockets. The simulator supports no unscheduled
 * poll of the endpoint list, no configuration file and no readiness: a balancer with a stale list
 * can only avoid the caches that its peers report as draining.
 */
final class SimulatedGossip
        implements GossipNode.Actions, GossipNode.Listener, StalenessDetector.Actions {
    /** Token of the gossip timer, which the decision module does not use. */
    static final int TIMER_TOKEN = Integer.MIN_VALUE;

    private static final String ENABLING_SETTING = "ceilings.peer-messages=true";

    /** Wall clock time at the simulator's time 0, from which incarnations are numbered. */
    private static final long WALL_CLOCK_START_MILLIS = 1_790_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ReplyWriter reply;
    private final int balancer;
    private final GossipNode gossip;
    private final StalenessDetector stalenessDetector;
    private final PolicyEvents policy;
    private final Set<Long> readyCaches = new HashSet<>();
    private final Map<Long, Server> serversById = new HashMap<>();
    private Set<Long> avoidedCaches = Set.of();
    private AppliedVersions appliedVersions;
    private int sequence;
    private long now;
    private long timerAtNanos = Long.MAX_VALUE;

    private SimulatedGossip(
            ReplyWriter reply,
            int balancer,
            long now,
            long seed,
            int rank,
            int count,
            String settings,
            PolicyEvents policy) {
        this.policy = policy;
        this.reply = reply;
        this.balancer = balancer;
        this.now = now;
        CRC32C digest = new CRC32C();
        digest.update(settings.getBytes(StandardCharsets.UTF_8));
        appliedVersions =
                new AppliedVersions(1, AppliedVersions.NO_NUMBER, digest.getValue(), 0, 0, 0, 0);
        stalenessDetector =
                new StalenessDetector(
                        StalenessSettings.STANDARD, rank, count, seed, appliedVersions, this);
        gossip =
                new GossipNode(
                        GossipSettings.STANDARD,
                        rank,
                        count,
                        now,
                        Incarnation.fromUnixMillis(WALL_CLOCK_START_MILLIS + now / NANOS_PER_MILLI),
                        seed,
                        appliedVersions,
                        0,
                        this,
                        this);
        schedule();
    }

    /** Starts gossip if it is requested and enabled in the settings; returns null otherwise. */
    static SimulatedGossip createIfEnabled(
            boolean isRequested,
            ReplyWriter reply,
            int balancer,
            long now,
            long seed,
            int rank,
            int count,
            String settings,
            PolicyEvents policy) {
        boolean isEnabled = settings.lines().anyMatch(ENABLING_SETTING::equals);
        return isRequested && isEnabled && count > 1 && rank < count
                ? new SimulatedGossip(reply, balancer, now, seed, rank, count, settings, policy)
                : null;
    }

    /** Records that the balancer has applied this revision of the endpoint list. */
    void onListApplied(long atNanos, long listRevision, boolean isDelta, List<Server> servers) {
        now = atNanos;
        Set<Long> previouslyReady = new HashSet<>(readyCaches);
        if (!isDelta) {
            readyCaches.clear();
            serversById.clear();
        }
        servers.forEach(server -> serversById.put(server.id(), server));
        for (Server server : servers) {
            if (server.state() == EndpointState.READY) {
                readyCaches.add(server.id());
            } else {
                readyCaches.remove(server.id());
            }
        }
        Set<Long> changed = new HashSet<>(previouslyReady);
        changed.addAll(readyCaches);
        changed.removeIf(id -> previouslyReady.contains(id) == readyCaches.contains(id));
        changed.stream()
                .sorted()
                .forEach(
                        id ->
                                gossip.announceCacheState(
                                        now, listRevision, id, readyCaches.contains(id)));
        appliedVersions =
                new AppliedVersions(
                        appliedVersions.buildDigest(),
                        appliedVersions.configNumber(),
                        appliedVersions.configDigest(),
                        listRevision,
                        0,
                        0,
                        0);
        gossip.updateAppliedVersions(now, appliedVersions, ++sequence);
        stalenessDetector.onLocalVersions(now, appliedVersions, Set.copyOf(readyCaches));
        schedule();
    }

    void onDatagram(long atNanos, int from, byte[] data) {
        now = atNanos;
        gossip.onDatagram(now, from, data, data.length);
        schedule();
    }

    void onTimer(long atNanos) {
        now = atNanos;
        timerAtNanos = Long.MAX_VALUE;
        if (now >= gossip.nextTimerAtNanos()) {
            gossip.onTimer(now);
        }
        stalenessDetector.onIsolation(now, gossip.isIsolated(now));
        if (now >= stalenessDetector.nextTimerAtNanos(now)) {
            stalenessDetector.onTimer(now);
        }
        schedule();
    }

    /** Schedules the timer for the next event unless an earlier one is scheduled already. */
    private void schedule() {
        long next = Math.min(gossip.nextTimerAtNanos(), stalenessDetector.nextTimerAtNanos(now));
        if (next < timerAtNanos) {
            timerAtNanos = next;
            reply.actionsOf(balancer).scheduleTimer(Math.max(now + 1, next), TIMER_TOKEN);
        }
    }

    /** Returns the state of a peer as known to this balancer. */
    MemberSnapshot snapshot(long atNanos, int rank) {
        return gossip.snapshot(atNanos, rank);
    }

    /** Passes a peer's current state to the staleness detector. */
    private void refreshPeerState(int rank) {
        // The gossip node calls back from its constructor, before it is assigned.
        if (gossip != null && rank != gossip.rank()) {
            MemberSnapshot snapshot = gossip.snapshot(now, rank);
            stalenessDetector.onPeerState(
                    now,
                    rank,
                    snapshot.state(),
                    snapshot.appliedVersions(),
                    Incarnation.toUnixMillis(snapshot.incarnation()),
                    snapshot.ageNanos());
        }
    }

    @Override
    public void onMemberState(long atNanos, int rank, long incarnation, MemberState state, int by) {
        refreshPeerState(rank);
    }

    @Override
    public void onMemberEntry(
            long atNanos, int rank, long incarnation, int row, int ref, long age) {
        refreshPeerState(rank);
    }

    @Override
    public void onCacheUnavailable(long atNanos, int from, long listRevision, long cache) {
        stalenessDetector.onCacheUnavailable(atNanos, from, listRevision, cache);
    }

    @Override
    public void onCacheRestored(long atNanos, int from, long listRevision, long cache) {
        stalenessDetector.onCacheRestored(atNanos, from, listRevision, cache);
    }

    @Override
    public void avoidCaches(Set<Long> caches) {
        Set<Long> changed = new TreeSet<>(avoidedCaches);
        changed.addAll(caches);
        changed.removeIf(
                id ->
                        avoidedCaches.contains(id) == caches.contains(id)
                                || !serversById.containsKey(id));
        avoidedCaches = caches;
        policy.onEndpointUpdate(
                now,
                EndpointUpdateMode.DELTA,
                changed.stream()
                        .map(serversById::get)
                        .map(server -> caches.contains(server.id()) ? draining(server) : server)
                        .toList());
    }

    private static Server draining(Server server) {
        return new Server(
                server.id(),
                server.zone(),
                server.kind(),
                server.cell(),
                EndpointState.DRAINING,
                server.weight(),
                server.startedAtNanos());
    }

    @Override
    public void pollEndpointList() {
        // Not available on this wire.
    }

    @Override
    public void rereadConfig() {
        // Not available on this wire.
    }

    @Override
    public void fetchConfig(long digest, List<Integer> holders) {
        // Not available on this wire.
    }

    @Override
    public void setSelfDraining(boolean on, String reason) {
        // Not available on this wire.
    }

    @Override
    public void announceFailingVersions() {
        // No metrics are collected here.
    }

    @Override
    public void onVersionNotFollowed(VersionKind kind, long number, String reason) {
        // There is no log here.
    }

    @Override
    public void notifyOperators(String message) {
        // There is no log here.
    }

    @Override
    public void send(int to, byte[] data, int length) {
        reply.sendMessage(balancer, to, data, length);
    }
}
