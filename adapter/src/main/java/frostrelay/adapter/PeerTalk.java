package frostrelay.adapter;

import frostrelay.peers.Incarnation;
import frostrelay.peers.Known;
import frostrelay.peers.PeerSettings;
import frostrelay.peers.Peers;
import frostrelay.peers.Stamp;
import frostrelay.peers.State;
import frostrelay.policy.Api;
import frostrelay.stragglers.Kind;
import frostrelay.stragglers.StragglerSettings;
import frostrelay.stragglers.Stragglers;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.zip.CRC32C;

/**
 * One hosted balancer's talk with its peers on the simulator's wire, and what it makes of that: the
 * same {@link Peers} and {@link Stragglers} as on sockets. The wire has no call of discovery out of
 * turn, no file to read again and no readiness: here a straggler leaves alone what others know as
 * draining, and no more.
 */
final class PeerTalk implements Peers.Actions, Peers.Listener, Stragglers.Actions {
    /** No timer of the decision module has it. */
    static final int TOKEN = Integer.MIN_VALUE;

    private static final String ALLOWED = "ceilings.peer-messages=true";

    /**
     * The simulator's clock begins at 0; lives are numbered as though that were a day in this
     * century.
     */
    private static final long WALL_MS = 1_790_000_000_000L;

    private static final long MILLISECOND = 1_000_000L;

    private final ReplyWriter reply;
    private final int balancer;
    private final Peers peers;
    private final Stragglers stragglers;
    private final Api.Events module;
    private final Set<Long> ready = new HashSet<>();
    private final Map<Long, Api.Server> listed = new HashMap<>();
    private Set<Long> avoided = Set.of();
    private Stamp stamp;
    private int sequence;
    private long now;
    private long wakeAt = Long.MAX_VALUE;

    private PeerTalk(
            ReplyWriter reply,
            int balancer,
            long now,
            long seed,
            int rank,
            int count,
            String settings,
            Api.Events module) {
        this.module = module;
        this.reply = reply;
        this.balancer = balancer;
        this.now = now;
        CRC32C digest = new CRC32C();
        digest.update(settings.getBytes(StandardCharsets.UTF_8));
        stamp = new Stamp(1, Stamp.NO_NUMBER, digest.getValue(), 0, 0, 0, 0);
        stragglers = new Stragglers(StragglerSettings.STANDARD, rank, count, seed, stamp, this);
        peers =
                new Peers(
                        PeerSettings.STANDARD,
                        rank,
                        count,
                        now,
                        Incarnation.of(WALL_MS + now / MILLISECOND),
                        seed,
                        stamp,
                        0,
                        this,
                        this);
        schedule();
    }

    /** Begins to talk where it is wanted and the settings allow it; null elsewhere. */
    static PeerTalk of(
            boolean wanted,
            ReplyWriter reply,
            int balancer,
            long now,
            long seed,
            int rank,
            int count,
            String settings,
            Api.Events module) {
        boolean allowed = settings.lines().anyMatch(ALLOWED::equals);
        return wanted && allowed && count > 1 && rank < count
                ? new PeerTalk(reply, balancer, now, seed, rank, count, settings, module)
                : null;
    }

    /** It has taken this version of the list; {@code delta}: these are changes to it. */
    void acts(long moment, long list, boolean delta, List<Api.Server> servers) {
        now = moment;
        Set<Long> before = new HashSet<>(ready);
        if (!delta) {
            ready.clear();
            listed.clear();
        }
        servers.forEach(server -> listed.put(server.id(), server));
        for (Api.Server server : servers) {
            if (server.state() == Api.State.READY) {
                ready.add(server.id());
            } else {
                ready.remove(server.id());
            }
        }
        Set<Long> changed = new HashSet<>(before);
        changed.addAll(ready);
        changed.removeIf(id -> before.contains(id) == ready.contains(id));
        changed.stream().sorted().forEach(id -> peers.tellCache(now, list, id, ready.contains(id)));
        stamp = new Stamp(stamp.build(), stamp.confNumber(), stamp.confDigest(), list, 0, 0, 0);
        peers.onStamp(now, stamp, ++sequence);
        stragglers.onOwn(now, stamp, Set.copyOf(ready));
        schedule();
    }

    void heard(long moment, int from, byte[] data) {
        now = moment;
        peers.onDatagram(now, from, data, data.length);
        schedule();
    }

    void wake(long moment) {
        now = moment;
        wakeAt = Long.MAX_VALUE;
        if (now >= peers.next()) {
            peers.onWake(now);
        }
        stragglers.onDeaf(now, peers.deaf(now));
        if (now >= stragglers.next(now)) {
            stragglers.onWake(now);
        }
        schedule();
    }

    private void schedule() {
        long next = Math.min(peers.next(), stragglers.next(now));
        if (next < wakeAt) {
            wakeAt = next;
            reply.of(balancer).wakeAt(Math.max(now + 1, next), TOKEN);
        }
    }

    /** What is known of another. */
    Known known(long moment, int rank) {
        return peers.known(moment, rank);
    }

    /** What is known of another may have changed. */
    private void consider(int rank) {
        // Within the talk's own first words there is nothing to ask yet.
        if (peers != null && rank != peers.rank()) {
            Known known = peers.known(now, rank);
            stragglers.onPeer(
                    now,
                    rank,
                    known.state(),
                    known.stamp(),
                    Incarnation.unixMs(known.incarnation()),
                    known.age());
        }
    }

    @Override
    public void onState(long moment, int rank, long incarnation, State state, int by) {
        consider(rank);
    }

    @Override
    public void onRow(long moment, int rank, long incarnation, int row, int ref, long age) {
        consider(rank);
    }

    @Override
    public void onAway(long moment, int from, long rev, long cache) {
        stragglers.onAway(moment, from, rev, cache);
    }

    @Override
    public void onBack(long moment, int from, long rev, long cache) {
        stragglers.onBack(moment, from, rev, cache);
    }

    @Override
    public void avoid(Set<Long> caches) {
        Set<Long> changed = new TreeSet<>(avoided);
        changed.addAll(caches);
        changed.removeIf(
                id -> avoided.contains(id) == caches.contains(id) || !listed.containsKey(id));
        avoided = caches;
        module.onList(
                now,
                Api.ListMode.DELTA,
                changed.stream()
                        .map(listed::get)
                        .map(
                                one ->
                                        !caches.contains(one.id())
                                                ? one
                                                : new Api.Server(
                                                        one.id(),
                                                        one.zone(),
                                                        one.kind(),
                                                        one.cell(),
                                                        Api.State.DRAINING,
                                                        one.weight(),
                                                        one.startedAt()))
                        .toList());
    }

    @Override
    public void ask() {
        // Nothing on this wire does that.
    }

    @Override
    public void reread() {
        // Likewise.
    }

    @Override
    public void fetch(long digest, List<Integer> holders) {
        // Likewise.
    }

    @Override
    public void aside(boolean on, String why) {
        // Likewise.
    }

    @Override
    public void says() {
        // Nothing is counted here.
    }

    @Override
    public void stays(Kind kind, long number, String why) {
        // Nobody reads along.
    }

    @Override
    public void tell(String what) {
        // Likewise.
    }

    @Override
    public void send(int to, byte[] data, int length) {
        reply.tell(balancer, to, data, length);
    }
}
