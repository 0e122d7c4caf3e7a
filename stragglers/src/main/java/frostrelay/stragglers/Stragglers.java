package frostrelay.stragglers;

import frostrelay.peers.Stamp;
import frostrelay.peers.State;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Whether this balancer acts on what the rest of the fleet has left behind, and what it does then.
 * What peers say only takes away: a cache that others know as draining or gone is avoided until the
 * own list has caught up or the hearsay is old; nothing is ever sent to a cache that the own list
 * has not named. Decides by events alone; for one thread; moments are nanoseconds of one clock that
 * never falls.
 */
public final class Stragglers {
    /** What comes of it. */
    public interface Actions {
        /** Discovery is to be asked for the whole list now. */
        void ask();

        /** The configuration's file is read again now: a signal may have been missed. */
        void reread();

        /**
         * The file brought nothing: these act on a configuration with this digest, and its content
         * may be asked of them where operators allow that. None: nothing is wanted any more.
         */
        void fetch(long digest, List<Integer> holders);

        /** Exactly these caches, by their numbers, are avoided on hearsay from now on. */
        void avoid(Set<Long> caches);

        /** This balancer steps aside as a drain does, or comes back. */
        void aside(boolean on, String why);

        /** What this balancer says of itself ({@link #failing}) has changed and is to be told. */
        void says();

        /** A version is not followed although others act on it, and why. */
        void stays(Kind kind, long number, String why);

        /** Something that operators want to know, in words. */
        void tell(String what);
    }

    /** How this balancer's list, or its configuration, stands to the others'. */
    public enum Standing {
        /** Nobody is heard: neither current nor behind. */
        HEARS_NOTHING,
        CURRENT,
        /** Others act on a newer one, and it may yet come by itself. */
        WAITING,
        /** It was waited for in vain and is asked for. */
        BEHIND,
        /** Behind for longer than the bound: what it says of shared state is not to be gone by. */
        STRAGGLER,
        /** Behind on purpose: those that took the newer one fail under it. Operators decide. */
        STAYS_BEHIND,
        /** Behind for a known reason: the newer configuration was read here and cannot be used. */
        REFUSED,
        /** One version with two contents. */
        CONFLICT
    }

    private static final long NEVER = Long.MAX_VALUE;

    /** With so many others alive, one's word alone proves nothing. */
    static final int FEW = 3;

    private static final int MOST_CACHES = 4_096;

    /**
     * What others say of a cache: who has it as not to be used, each by the version of its own
     * list.
     */
    private static final class Hearsay {
        long since;

        /** One alone has been believed for as long as that goes. */
        boolean spent;

        final Map<Integer, Long> witnesses = new HashMap<>();
    }

    private final StragglerSettings settings;
    private final int me;
    private final int count;
    private final SplittableRandom random;
    private final Actions actions;
    private final Peer[] peers;
    private final Survey survey = new Survey();
    private final Verdicts verdicts;
    private final SharedHolds holds;
    private final Map<Kind, Service> service = new EnumMap<>(Kind.class);
    private final Map<Long, Hearsay> hearsay = new LinkedHashMap<>();

    /** By which version each peer has a cache back. */
    private final Map<Long, Map<Integer, Long>> backs = new HashMap<>();

    private Set<Long> ready = Set.of();
    private Set<Long> ownHolds = Set.of();
    private Set<Long> avoided = Set.of();
    private Set<Long> held = Set.of();
    private Stamp own;
    private boolean deaf;
    private Overrides overrides = Overrides.NONE;
    private Standing standing = Standing.HEARS_NOTHING;
    private Standing config = Standing.HEARS_NOTHING;
    private long newest;
    private long newestConfig = Long.MIN_VALUE;
    private long refusedConfig = Long.MIN_VALUE;
    private long behindSince = NEVER;
    private long configSince = NEVER;
    private long askAt = NEVER;
    private long askEvery;
    private long rereadAt = NEVER;
    private long fetchAt = NEVER;
    private boolean fetching;
    private boolean aside;
    private long asks;

    /** {@code me}: this balancer's number among {@code count}; {@code own}: what it acts on. */
    public Stragglers(
            StragglerSettings settings, int me, int count, long seed, Stamp own, Actions actions) {
        this.settings = settings;
        this.me = me;
        this.count = count;
        this.own = own;
        this.actions = actions;
        random = new SplittableRandom(seed);
        peers = new Peer[count];
        for (int i = 0; i < count; i++) {
            peers[i] = new Peer();
        }
        verdicts = new Verdicts(settings, peers, me);
        holds = new SharedHolds(settings, peers);
        for (Kind kind : Kind.values()) {
            service.put(kind, new Service(settings, kind));
        }
    }

    // What comes in.

    /**
     * A cache that others call away: by which list several of them do, {@link Long#MIN_VALUE} for
     * none, and how many there are.
     */
    private record Proved(long cache, long rev, int witnesses) {}

    /** This balancer's own operators hold these caches. */
    public void onHolds(long now, Set<Long> caches) {
        ownHolds = Set.copyOf(caches);
        judge(now);
    }

    /**
     * This balancer acts on this from now on; {@code usable}: the caches that its list names as
     * ready.
     */
    public void onOwn(long now, Stamp stamp, Set<Long> usable) {
        for (Kind kind : Kind.values()) {
            if (kind.number(stamp) != kind.number(own)) {
                service.get(kind).onTook(now);
            }
        }
        own = stamp;
        ready = usable;
        for (Peer peer : peers) {
            older(now, peer);
        }
        judge(now);
    }

    /**
     * What is known of a peer. {@code stamp}: null where that is nothing; {@code life}: when its
     * life began, in Unix milliseconds as it saw it; {@code age}: how long ago it said so itself,
     * negative where it never did.
     */
    public void onPeer(long now, int rank, State state, Stamp stamp, long life, long age) {
        Peer peer = peers[rank];
        boolean anotherLife = life != peer.life && peer.life != 0;
        if (anotherLife
                ? peer.state != State.LEFT && peer.state != State.GONE
                : state == State.GONE && peer.state != State.GONE && peer.state != State.LEFT) {
            verdicts.onEnded(now, rank, peer);
        }
        if (stamp != null
                && (anotherLife
                        || peer.stamp == null
                        || peer.stamp.confNumber() != stamp.confNumber())) {
            peer.configSince = now - Math.max(0, age);
        }
        peer.state = state;
        peer.life = life;
        peer.stamp = stamp == null && !anotherLife ? peer.stamp : stamp;
        peer.saidAt = age < 0 ? peer.saidAt : Math.max(peer.saidAt, now - age);
        older(now, peer);
        judge(now);
    }

    private void older(long now, Peer peer) {
        boolean older = peer.stamp != null && peer.stamp.listRev() < own.listRev();
        peer.olderSince = older ? Math.min(peer.olderSince, now) : NEVER;
    }

    /** Whether anybody is heard at all. */
    public void onDeaf(long now, boolean nobody) {
        if (nobody != deaf) {
            deaf = nobody;
            judge(now);
        }
    }

    /**
     * Counts since the start, about once a second: requests that ended, and those that were served
     * among them.
     */
    public void onSecond(long now, long ended, long served) {
        boolean changed = false;
        for (Service one : service.values()) {
            boolean before = one.fails();
            one.onSecond(now, ended, served);
            changed |= one.fails() != before;
        }
        if (changed) {
            actions.says();
        }
    }

    /**
     * A configuration with that number, {@link Stamp#NO_NUMBER} for one that has none, was read and
     * cannot be used.
     */
    public void onRefused(long now, long number) {
        refusedConfig = number;
        judge(now);
    }

    /** A peer says of itself that it serves worse since it took a version, or does no longer. */
    public void onFails(long now, int from, Kind kind, long number, boolean fails) {
        verdicts.onFails(now, from, kind, number, fails);
        judge(now);
    }

    /**
     * A peer says that its own operators hold a cache; {@code digest}: of all that it holds, as in
     * its stamp.
     */
    public void onHeld(long now, int from, long digest, long cache) {
        holds.onHeld(now, from, digest, cache);
        judge(now);
    }

    /** What operators decided in place of the program. */
    public void onOverrides(long now, Overrides fresh) {
        overrides = fresh;
        judge(now);
    }

    /** A peer says, by its own list of that version, that a cache is not to be used. */
    public void onAway(long now, int from, long rev, long cache) {
        if (rev <= own.listRev() || !ready.contains(cache) || hearsay.size() >= MOST_CACHES) {
            return;
        }
        if (rev < back(cache)) {
            return;
        }
        Hearsay one = hearsay.computeIfAbsent(cache, id -> new Hearsay());
        if (one.witnesses.isEmpty()) {
            one.since = now;
        }
        one.witnesses.merge(from, rev, Math::max);
        judge(now);
    }

    /**
     * A peer says, by its own list of that version, that a cache may be used again: what older
     * lists said of it is over, also where that comes later, as datagrams overtake each other.
     * Believed once that version is proved: one liar ends nobody's word.
     */
    public void onBack(long now, int from, long rev, long cache) {
        if (rev <= own.listRev()
                || !ready.contains(cache)
                || backs.size() >= MOST_CACHES && !backs.containsKey(cache)) {
            return;
        }
        backs.computeIfAbsent(cache, id -> new HashMap<>()).merge(from, rev, Math::max);
        judge(now);
    }

    /**
     * The newest proved version by which somebody has the cache back; {@link Long#MIN_VALUE} for
     * none.
     */
    private long back(long cache) {
        long back = Long.MIN_VALUE;
        for (long rev : backs.getOrDefault(cache, Map.of()).values()) {
            back = rev <= newest ? Math.max(back, rev) : back;
        }
        return back;
    }

    /** When {@link #onWake} is to be called next. */
    public long next(long now) {
        long next = Math.min(Math.min(askAt, rereadAt), Math.min(fetchAt, holds.next(now)));
        for (Hearsay one : hearsay.values()) {
            next = Math.min(next, one.since + (one.spent ? settings.hearsay() : settings.alone()));
        }
        if (behindSince != NEVER
                && standing != Standing.STRAGGLER
                && standing != Standing.STAYS_BEHIND) {
            next =
                    Math.min(
                            next,
                            behindSince
                                    + (standing == Standing.WAITING
                                            ? settings.grace()
                                            : settings.bound()));
        }
        if (configSince != NEVER && config == Standing.BEHIND) {
            next = Math.min(next, configSince + settings.bound());
        }
        return next;
    }

    /** To be called at {@link #next}, or a little later. */
    public void onWake(long now) {
        judge(now);
        if (now >= rereadAt) {
            rereadAt = now + settings.askMost();
            actions.reread();
        }
        if (now >= fetchAt) {
            fetchAt = now + settings.askMost();
            fetch();
        }
        if (now >= askAt) {
            asks++;
            // Until it brings something, ever more seldom: a fleet that is told nothing does not
            // mob discovery.
            askEvery = Math.min(Math.max(settings.askMost(), wave()), askEvery * 2);
            askAt = now + askEvery / 2 + random.nextLong(askEvery / 2 + 1);
            actions.ask();
        }
    }

    /** The content that most act on under the newest number, of those that do. */
    private void fetch() {
        Map<Long, List<Integer>> holders = new HashMap<>();
        for (int i = 0; i < count; i++) {
            if (i != me && peers[i].alive() && peers[i].stamp.confNumber() == newestConfig) {
                holders.computeIfAbsent(peers[i].stamp.confDigest(), digest -> new ArrayList<>())
                        .add(i);
            }
        }
        holders.entrySet().stream()
                .max(
                        (a, b) ->
                                a.getValue().size() != b.getValue().size()
                                        ? a.getValue().size() - b.getValue().size()
                                        : Long.compare(a.getKey(), b.getKey()))
                .ifPresent(
                        most -> {
                            // Two contents under one number: whoever has the more must be proved by
                            // itself.
                            if (most.getValue().size() >= needed()) {
                                fetching = true;
                                actions.fetch(most.getKey(), List.copyOf(most.getValue()));
                            }
                        });
    }

    // Judging.

    private int needed() {
        return survey.needed();
    }

    private void judge(long now) {
        survey.look(peers, me, own);
        hearsay.keySet().removeIf(cache -> !ready.contains(cache));
        backs.keySet().removeIf(cache -> !ready.contains(cache));
        backs.values().forEach(all -> all.values().removeIf(rev -> rev <= own.listRev()));
        backs.values().removeIf(Map::isEmpty);
        hearsay.values().forEach(one -> one.spent |= now - one.since >= settings.alone());
        stand(now);
        // Witness by witness: one that claims a version of the far future keeps nobody else's word
        // alive.
        hearsay.forEach(
                (cache, one) ->
                        one.witnesses
                                .values()
                                .removeIf(rev -> rev <= own.listRev() || rev < back(cache)));
        hearsay.values()
                .removeIf(one -> one.witnesses.isEmpty() || now - one.since >= settings.hearsay());
        config(now);
        avoid(now);
        leave(now);
    }

    private void stand(long now) {
        newest = survey.proved(Kind.LIST);
        Standing before = standing;
        if (deaf || !survey.anybody) {
            // Hearing nothing is not being behind: what was known before is neither confirmed nor
            // refuted.
            standing = Standing.HEARS_NOTHING;
            behindSince = NEVER;
            askAt = NEVER;
        } else if (newest > own.listRev() && unfollowed(now, Kind.LIST, newest)) {
            standing = Standing.STAYS_BEHIND;
            behindSince = behindSince == NEVER ? now : behindSince;
            askAt = NEVER;
        } else if (newest > own.listRev()) {
            if (behindSince == NEVER || askAt == NEVER) {
                behindSince = now;
                askEvery = Math.max(settings.askLeast(), wave());
                askAt = now + settings.grace() + random.nextLong(Math.max(1, wave()));
            }
            long lag = now - behindSince;
            standing =
                    lag >= settings.bound()
                            ? Standing.STRAGGLER
                            : lag >= settings.grace() ? Standing.BEHIND : Standing.WAITING;
        } else {
            standing = survey.listConflict ? Standing.CONFLICT : Standing.CURRENT;
            behindSince = NEVER;
            askAt = NEVER;
        }
        if (before != standing
                && (standing == Standing.STRAGGLER
                        || before == Standing.STRAGGLER
                        || standing == Standing.CONFLICT)) {
            actions.tell(standing + " on list " + own.listRev() + ", others act on " + newest);
        }
        if (before != standing && standing == Standing.STAYS_BEHIND) {
            actions.stays(Kind.LIST, newest, "those that took it fail under it");
        }
    }

    private boolean unfollowed(long now, Kind kind, long number) {
        return verdicts.bad(now, kind, number, service.get(kind).fails())
                && !overrides.follows(kind, number);
    }

    /**
     * Others that prove one act on a later configuration: the file may hold it, unread. Lagging
     * behind a configuration is never a reason to step aside: one that is led through the fleet in
     * steps has most of it behind on purpose.
     */
    private void config(long now) {
        newestConfig = survey.proved(Kind.CONFIG);
        Standing before = config;
        boolean behind = own.confNumber() != Stamp.NO_NUMBER && newestConfig > own.confNumber();
        if (deaf || standing == Standing.HEARS_NOTHING) {
            config = Standing.HEARS_NOTHING;
        } else if (!behind) {
            config = survey.configConflict ? Standing.CONFLICT : Standing.CURRENT;
        } else if (refusedConfig == newestConfig) {
            config = Standing.REFUSED;
        } else if (unfollowed(now, Kind.CONFIG, newestConfig)) {
            config = Standing.STAYS_BEHIND;
        } else {
            config =
                    configSince != NEVER && now - configSince >= settings.bound()
                            ? Standing.STRAGGLER
                            : Standing.BEHIND;
        }
        if (config != Standing.BEHIND && config != Standing.STRAGGLER) {
            configSince = NEVER;
            rereadAt = NEVER;
            fetchAt = NEVER;
            if (fetching) {
                fetching = false;
                actions.fetch(0, List.of());
            }
        } else if (configSince == NEVER) {
            configSince = now;
            // The signal is on its way as a rule; reading a file costs nobody else anything.
            rereadAt = now + settings.probation();
            fetchAt = rereadAt + 2 * settings.askLeast();
        }
        if (before != config
                && (config == Standing.STRAGGLER
                        || config == Standing.REFUSED
                        || config == Standing.CONFLICT
                        || before == Standing.STRAGGLER)) {
            actions.tell(
                    config
                            + " on configuration "
                            + own.confNumber()
                            + ", others act on "
                            + newestConfig);
        }
        if (before != config && config == Standing.STAYS_BEHIND) {
            actions.stays(Kind.CONFIG, newestConfig, "those that took it fail under it");
        }
    }

    /**
     * Over so long the calls of all that are behind are spread, so that they come as often as all
     * watches do in calm.
     */
    private long wave() {
        return behind() * Math.min(settings.spread(), settings.watch() / count);
    }

    /** How many are behind as far as is known, this one included: so many may be about to ask. */
    private int behind() {
        int behind = 1;
        for (int i = 0; i < count; i++) {
            behind += i != me && peers[i].alive() && peers[i].stamp.listRev() < newest ? 1 : 0;
        }
        return behind;
    }

    /**
     * Operators' holds first, then those that several prove by the newest lists, then those with
     * most witnesses, up to the part that others' word may take away, whoever says what. What this
     * balancer's own operators hold is out of use anyway and takes no room: beside such a hold, a
     * drain that three knew was not avoided.
     */
    private void avoid(long now) {
        int most = ready.size() < 2 ? 0 : (int) Math.ceil(ready.size() * settings.away());
        int needed = needed();
        Set<Long> fresh = new TreeSet<>();
        held = holds.held(now, needed, deaf, ready);
        held.removeAll(ownHolds);
        held.stream().sorted().limit(most).forEach(fresh::add);
        List<Proved> proved = new ArrayList<>();
        for (Map.Entry<Long, Hearsay> one : hearsay.entrySet()) {
            List<Long> revs = one.getValue().witnesses.values().stream().sorted().toList();
            long rev = revs.size() >= needed ? revs.get(revs.size() - needed) : Long.MIN_VALUE;
            boolean counts =
                    rev != Long.MIN_VALUE
                            ? !unfollowed(now, Kind.LIST, rev)
                            : !one.getValue().spent;
            if (counts && !ownHolds.contains(one.getKey())) {
                proved.add(new Proved(one.getKey(), rev, revs.size()));
            }
        }
        proved.sort(
                Comparator.comparingLong(Proved::rev)
                        .thenComparingInt(Proved::witnesses)
                        .reversed()
                        .thenComparingLong(Proved::cache));
        for (Proved one : proved) {
            if (fresh.size() < most) {
                fresh.add(one.cache);
            }
        }
        if (!fresh.equals(avoided)) {
            avoided = fresh;
            actions.avoid(Set.copyOf(fresh));
        }
    }

    /**
     * Steps aside by what can be proved: a straggler, of whom at least half of the tier is alive
     * and current, and who has one of the few places that may be empty at once. Places go by
     * number: whoever hears whom, no more than that are ever aside. Operators who shut one out
     * answer for that themselves.
     */
    private void leave(long now) {
        boolean lags =
                standing == Standing.STRAGGLER
                        && !overrides.keepsIn()
                        && (aside
                                || mayLeave(me, count, settings.part()) && 2 * current() >= count);
        boolean out = lags || overrides.shutsOut();
        if (out != aside) {
            aside = out;
            actions.aside(
                    out,
                    !out
                            ? "no straggler any more"
                            : overrides.shutsOut()
                                    ? "operators shut it out"
                                    : "behind list "
                                            + newest
                                            + " with "
                                            + own.listRev()
                                            + " for "
                                            + (now - behindSince) / 1_000_000
                                            + " ms");
        }
    }

    /** How many others are alive and act on the newest list. */
    private int current() {
        int current = 0;
        for (int i = 0; i < count; i++) {
            current += i != me && peers[i].alive() && peers[i].stamp.listRev() >= newest ? 1 : 0;
        }
        return current;
    }

    /**
     * Whether a balancer has one of the places that may be empty: every fourth number, and never
     * one of a tier of two. At most a quarter of a tier, rounded up, can be aside at once, whatever
     * hears nothing.
     */
    static boolean mayLeave(int rank, int count, double part) {
        int every = (int) Math.round(1 / part);
        return count > 2 && rank % every == every - 1;
    }

    // What is known.

    /** How this balancer's list stands to the others'. */
    public Standing standing() {
        return standing;
    }

    /** How its configuration stands to theirs. */
    public Standing configStanding() {
        return config;
    }

    /** The newest list that is proved, {@link Long#MIN_VALUE} where none is. */
    public long newest() {
        return newest;
    }

    /** Likewise the newest configuration. */
    public long newestConfig() {
        return newestConfig;
    }

    /** For how long it has been behind a list, in nanoseconds; -1 where it is not. */
    public long behindFor(long now) {
        return behindSince == NEVER ? -1 : now - behindSince;
    }

    /** The caches avoided on others' word. */
    public Set<Long> avoided() {
        return avoided;
    }

    /** Those among them that others' operators hold. */
    public Set<Long> heldByOthers() {
        return held;
    }

    /**
     * The kinds whose version this balancer serves worse under than before it took it, by its own
     * counts.
     */
    public List<Kind> failing() {
        return service.entrySet().stream()
                .filter(one -> one.getValue().fails())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Whether what another says of shared state, counts, budgets, claims of ownership, is to be
     * gone by.
     */
    public Heed heeds(long now, int rank) {
        Peer peer = peers[rank];
        if (deaf || !peer.alive()) {
            return Heed.UNKNOWN;
        }
        return peer.olderSince != NEVER && now - peer.olderSince >= settings.bound()
                ? Heed.PASSED_OVER
                : Heed.CURRENT;
    }

    /** Whether it has stepped aside. */
    public boolean isAside() {
        return aside;
    }

    /** How often discovery was asked out of turn. */
    public long asks() {
        return asks;
    }
}
