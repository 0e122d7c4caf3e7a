package frostrelay.node;

import frostrelay.audit.AuditLog;
import frostrelay.log.Event;
import frostrelay.log.Log;
import frostrelay.peers.Cargo;
import frostrelay.peers.Incarnation;
import frostrelay.peers.Known;
import frostrelay.peers.Stamp;
import frostrelay.stragglers.Handover;
import frostrelay.stragglers.Heed;
import frostrelay.stragglers.Kind;
import frostrelay.stragglers.Overrides;
import frostrelay.stragglers.StragglerSettings;
import frostrelay.stragglers.Stragglers;
import frostrelay.stragglers.Words;

import io.netty.channel.EventLoop;

import java.nio.ByteBuffer;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * Where this balancer stands to the others of its tier: what it hears goes to {@link Stragglers},
 * and what comes of that is carried out. On the event loop.
 */
final class Lagging implements Stragglers.Actions, Words.Listener, Handover.Actions {
    private final FleetOptions options;
    private final EventLoop loop;
    private final Fleet.Lead lead;
    private final AuditLog audit;
    private final Counters counters;

    /** The talk that goes on, or null. */
    private final PeerPort port;

    private final Stragglers stragglers;
    private final Words words;
    private final Handover handover;

    /**
     * It is said for so long that it serves well again: probes of most others come by in that time.
     */
    private static final long FINE_AGAIN = 10 * Clock.SECOND;

    private final Set<Kind> said = EnumSet.noneOf(Kind.class);
    private long fineUntil;
    private long wakeAt = Long.MAX_VALUE;

    /** The configuration that was packed last, and as what. */
    private long packedDigest;

    private byte[] packed;

    Lagging(
            FleetOptions options,
            EventLoop loop,
            Fleet.Lead lead,
            AuditLog audit,
            Counters counters,
            PeerPort port,
            int rank,
            int count,
            long seed,
            UnaryOperator<Stragglers.Actions> seam) {
        this.options = options;
        this.loop = loop;
        this.lead = lead;
        this.audit = audit;
        this.counters = counters;
        this.port = port;
        stragglers =
                new Stragglers(
                        StragglerSettings.STANDARD,
                        rank,
                        count,
                        seed,
                        audit.stamp(),
                        seam.apply(this));
        handover = new Handover(seed, this);
        words = new Words(this::knowsHolds);
    }

    private boolean knowsHolds(int other, long digest) {
        Stamp stamp = port.peers() == null ? null : port.peers().known(Clock.now(), other).stamp();
        return stamp != null && stamp.holds() == digest;
    }

    // What comes in.

    /** What rides along in talk. */
    Cargo cargo() {
        return words;
    }

    void onStamp(Stamp stamp, Set<Long> ready) {
        stragglers.onOwn(Clock.now(), stamp, ready);
        schedule();
    }

    /** Operators hold these here, and this is in the stamp for it. */
    void onHolds(long digest, Set<Long> caches) {
        stragglers.onHolds(Clock.now(), caches);
        schedule();
        if (options.holds()) {
            words.holds(digest, caches);
            tellAll();
        }
    }

    void onPeer(Known known) {
        stragglers.onPeer(
                Clock.now(),
                known.rank(),
                known.state(),
                known.stamp(),
                Incarnation.unixMs(known.incarnation()),
                known.age());
        schedule();
    }

    void onAway(long now, int from, long rev, long cache) {
        stragglers.onAway(now, from, rev, cache);
        schedule();
    }

    void onBack(long now, int from, long rev, long cache) {
        stragglers.onBack(now, from, rev, cache);
        schedule();
    }

    void onCargo(long now, int from, int type, ByteBuffer content) {
        Words.read(now, from, type, content, this);
        schedule();
    }

    void onRefused(long number) {
        stragglers.onRefused(Clock.now(), number);
        schedule();
    }

    void onOverrides(Set<String> decided) {
        stragglers.onOverrides(Clock.now(), new Overrides(decided));
        schedule();
    }

    /** To be called about once a second. */
    void tick(long now, boolean deaf) {
        stragglers.onDeaf(now, deaf);
        stragglers.onSecond(
                now, counters.served + counters.refused() + counters.failed, counters.served);
        if (said.isEmpty() && now > fineUntil) {
            for (Kind kind : Kind.values()) {
                words.failsNoMore(kind);
            }
        }
        schedule();
    }

    @Override
    public void onHeld(long now, int from, long digest, long cache) {
        if (options.holds()) {
            stragglers.onHeld(now, from, digest, cache);
        }
    }

    @Override
    public void onFails(long now, int from, Kind kind, long number, boolean fails) {
        stragglers.onFails(now, from, kind, number, fails);
    }

    @Override
    public void onWant(long now, int from, long digest, int piece) {
        if (!options.handOver() || digest != audit.stamp().confDigest()) {
            return;
        }
        if (packed == null || packedDigest != digest) {
            packed = lead.settings();
            packedDigest = digest;
        }
        ByteBuffer content = Words.piece(digest, piece, packed);
        if (content != null) {
            port.post(from, Words.pieceType(), content);
        }
    }

    @Override
    public void onPiece(long now, int from, long digest, int piece, int count, byte[] content) {
        handover.onPiece(now, from, digest, piece, count, content);
    }

    private void schedule() {
        long now = Clock.now();
        long next = Math.min(stragglers.next(now), handover.next());
        if (next < wakeAt) {
            wakeAt = next;
            loop.schedule(
                    () -> {
                        wakeAt = Long.MAX_VALUE;
                        stragglers.onWake(Clock.now());
                        handover.onWake(Clock.now());
                        schedule();
                    },
                    Math.max(0, next - now),
                    TimeUnit.NANOSECONDS);
        }
    }

    // What comes of it.

    @Override
    public void ask() {
        lead.refresh();
    }

    @Override
    public void reread() {
        lead.reread();
    }

    @Override
    public void fetch(long digest, List<Integer> holders) {
        if (options.handOver()) {
            handover.onWanted(Clock.now(), digest, holders);
        }
    }

    @Override
    public void want(int holder, long digest, int piece) {
        port.post(holder, Words.wantType(), Words.want(digest, piece));
    }

    @Override
    public boolean take(long digest, byte[] content) {
        return lead.take(digest, content);
    }

    @Override
    public void avoid(Set<Long> caches) {
        Log.write(
                Event.AVOIDS,
                caches.size(),
                audit.stamp().listRev(),
                stragglers.newest(),
                stragglers.heldByOthers().size());
        Set<Long> held = new HashSet<>(stragglers.heldByOthers());
        held.retainAll(caches);
        Set<Long> away = new HashSet<>(caches);
        away.removeAll(held);
        lead.avoid(away, held);
    }

    @Override
    public void aside(boolean on, String why) {
        Log.write(on ? Event.STEPS_ASIDE : Event.COMES_BACK, why);
        lead.aside(on);
    }

    @Override
    public void says() {
        List<Kind> kinds = stragglers.failing();
        if (!kinds.isEmpty()) {
            Log.write(
                    Event.SERVES_WORSE,
                    kinds.toString(),
                    audit.stamp().listRev(),
                    audit.stamp().confNumber());
        }
        for (Kind kind : Kind.values()) {
            boolean fails = kinds.contains(kind);
            if (fails || said.contains(kind)) {
                words.fails(kind, kind.number(audit.stamp()), fails);
                tellAll();
            }
            if (fails ? said.add(kind) : said.remove(kind)) {
                fineUntil = Clock.now() + FINE_AGAIN;
            }
        }
    }

    private void tellAll() {
        port.cargoChanged();
    }

    @Override
    public void stays(Kind kind, long number, String why) {
        Log.write(Event.STAYS_BEHIND, kind.word(), number, why);
        audit.refused(Clock.now(), kind.word() + ' ' + number + " is not followed: " + why);
    }

    @Override
    public void tell(String what) {
        Log.write(Event.STRAGGLER, what);
    }

    // What is known.

    void state(Map<String, Object> into) {
        into.put("standing", word(stragglers.standing()));
        into.put(
                "newestList",
                stragglers.newest() == Long.MIN_VALUE ? "unknown" : stragglers.newest());
        long behind = stragglers.behindFor(Clock.now());
        into.put("behindMs", behind < 0 ? 0 : behind / Clock.MILLISECOND);
        into.put("configStanding", word(stragglers.configStanding()));
        into.put(
                "newestConfig",
                stragglers.newestConfig() == Long.MIN_VALUE
                        ? "unknown"
                        : stragglers.newestConfig());
        into.put("avoids", stragglers.avoided().size());
        into.put("heldByOthers", stragglers.heldByOthers().size());
        into.put("asked", stragglers.asks());
        into.put("handedOver", handover.taken());
        into.put("aside", stragglers.isAside());
    }

    private static String word(Stragglers.Standing standing) {
        return standing.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    boolean counts(int other) {
        return stragglers.heeds(Clock.now(), other) == Heed.CURRENT;
    }

    /** Whether what that one says of shared state is to be gone by. */
    String heeds(int other) {
        return stragglers
                .heeds(Clock.now(), other)
                .name()
                .toLowerCase(Locale.ROOT)
                .replace('_', '-');
    }
}
