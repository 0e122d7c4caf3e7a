package frostrelay.stragglers;

import frostrelay.peers.Stamp;
import frostrelay.peers.State;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Whether this balancer acts on what the rest of the fleet has left behind, and what it does then. What peers say only takes
 * away: a cache that others know as draining or gone is avoided until the own list has caught up or the hearsay is old;
 * nothing is ever sent to a cache that the own list has not named. Decides by events alone; for one thread; moments are
 * nanoseconds of one clock that never falls.
 */
public final class Stragglers {
    /** What comes of it. */
    public interface Actions {
        /** Discovery is to be asked for the whole list now. */
        void ask();

        /** The configuration's file is read again now: a signal may have been missed. */
        void reread();

        /** Exactly these caches, by their numbers, are avoided on hearsay from now on. */
        void avoid(Set<Long> caches);

        /** This balancer steps aside as a drain does, or comes back. */
        void aside(boolean on, String why);

        /** Something that operators want to know, in words. */
        void tell(String what);
    }

    /** How this balancer's list stands to the others'. */
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
        /** One version with two contents. */
        CONFLICT
    }

    private static final long NEVER = Long.MAX_VALUE;
    /** With so many others alive, one's word alone proves nothing. */
    private static final int FEW = 3;
    private static final int MOST_CACHES = 4_096;

    /** What others say of a cache: the newest version by which it is not to be used, and who said so. */
    private static final class Hearsay {
        long rev;
        long since;
        /** One alone has been believed for as long as that goes. */
        boolean spent;
        final Set<Integer> witnesses = new HashSet<>();
    }

    private final StragglerSettings settings;
    private final int me;
    private final int count;
    private final SplittableRandom random;
    private final Actions actions;
    private final Stamp[] stamps;
    private final State[] states;
    private final Map<Long, Hearsay> hearsay = new LinkedHashMap<>();
    private Set<Long> ready = Set.of();
    private Set<Long> avoided = Set.of();
    private Stamp own;
    private boolean deaf;
    private Standing standing = Standing.HEARS_NOTHING;
    private long newest;
    private long behindSince = NEVER;
    private long askAt = NEVER;
    private long askEvery;
    private long rereadAt = NEVER;
    private boolean aside;
    private long asks;
    private boolean keptIn;

    /** {@code me}: this balancer's number among {@code count}; {@code own}: what it acts on. */
    public Stragglers(StragglerSettings settings, int me, int count, long seed, Stamp own, Actions actions) {
        this.settings = settings;
        this.me = me;
        this.count = count;
        this.own = own;
        this.actions = actions;
        random = new SplittableRandom(seed);
        stamps = new Stamp[count];
        states = new State[count];
    }

    // What comes in.

    /** This balancer acts on this from now on; {@code usable}: the caches that its list names as ready. */
    public void onOwn(long now, Stamp stamp, Set<Long> usable) {
        own = stamp;
        ready = usable;
        judge(now);
    }

    /** What is known of a peer: {@code stamp} is null where that is nothing. */
    public void onPeer(long now, int rank, State state, Stamp stamp) {
        states[rank] = state;
        stamps[rank] = stamp == null ? stamps[rank] : stamp;
        judge(now);
    }

    /** Whether anybody is heard at all. */
    public void onDeaf(long now, boolean nobody) {
        if (nobody != deaf) {
            deaf = nobody;
            judge(now);
        }
    }

    /** A peer says, by its own list of that version, that a cache is not to be used. */
    public void onAway(long now, int from, long rev, long cache) {
        if (rev <= own.listRev() || !ready.contains(cache) || hearsay.size() >= MOST_CACHES) {
            return;
        }
        Hearsay one = hearsay.computeIfAbsent(cache, id -> new Hearsay());
        if (one.witnesses.isEmpty()) {
            one.since = now;
        }
        one.rev = Math.max(one.rev, rev);
        one.witnesses.add(from);
        judge(now);
    }

    /** A peer says, by its own list of that version, that a cache may be used again: what was heard before is over. */
    public void onBack(long now, int from, long rev, long cache) {
        Hearsay one = hearsay.get(cache);
        if (one != null && one.rev < rev) {
            hearsay.remove(cache);
            judge(now);
        }
    }

    /** Operators want it kept in, whatever it lags behind, or no longer. */
    public void keepIn(long now, boolean on) {
        keptIn = on;
        judge(now);
    }

    /** When {@link #onWake} is to be called next. */
    public long next() {
        long next = Math.min(askAt, rereadAt);
        for (Hearsay one : hearsay.values()) {
            next = Math.min(next, one.since + (one.spent ? settings.hearsay() : settings.alone()));
        }
        if (behindSince != NEVER && standing != Standing.STRAGGLER) {
            next = Math.min(next, behindSince + (standing == Standing.WAITING ? settings.grace() : settings.bound()));
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
        if (now >= askAt) {
            asks++;
            // Until it brings something, ever more seldom: a fleet that is told nothing does not mob discovery.
            askEvery = Math.min(Math.max(settings.askMost(), wave()), askEvery * 2);
            askAt = now + askEvery / 2 + random.nextLong(askEvery / 2 + 1);
            actions.ask();
        }
    }

    // Judging.

    private int needed() {
        int alive = 0;
        for (int i = 0; i < count; i++) {
            alive += i != me && states[i] == State.ALIVE ? 1 : 0;
        }
        return alive >= FEW ? 2 : 1;
    }

    private void judge(long now) {
        hearsay.values().removeIf(one -> one.rev <= own.listRev() || now - one.since >= settings.hearsay());
        hearsay.keySet().removeIf(cache -> !ready.contains(cache));
        hearsay.values().forEach(one -> one.spent |= now - one.since >= settings.alone());
        stand(now);
        config(now);
        avoid();
        leave(now);
    }

    /** The newest version that so many act on as it takes to prove one. */
    private long proved(int needed) {
        List<Long> revs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (i != me && states[i] == State.ALIVE && stamps[i] != null) {
                revs.add(stamps[i].listRev());
            }
        }
        revs.sort(null);
        return revs.size() < needed ? Long.MIN_VALUE : revs.get(revs.size() - needed);
    }

    private void stand(long now) {
        boolean anybody = false;
        boolean conflict = false;
        for (int i = 0; i < count; i++) {
            if (i != me && states[i] == State.ALIVE && stamps[i] != null) {
                anybody = true;
                conflict |= Order.list(own, stamps[i]) == Order.CONFLICT;
            }
        }
        newest = proved(needed());
        Standing before = standing;
        if (deaf || !anybody) {
            // Hearing nothing is not being behind: what was known before is neither confirmed nor refuted.
            standing = Standing.HEARS_NOTHING;
            behindSince = NEVER;
            askAt = NEVER;
        } else if (newest > own.listRev()) {
            if (behindSince == NEVER) {
                behindSince = now;
                askEvery = Math.max(settings.askLeast(), wave());
                askAt = now + settings.grace() + random.nextLong(Math.max(1, wave()));
            }
            long lag = now - behindSince;
            standing = lag >= settings.bound() ? Standing.STRAGGLER : lag >= settings.grace() ? Standing.BEHIND
                    : Standing.WAITING;
        } else {
            standing = conflict ? Standing.CONFLICT : Standing.CURRENT;
            behindSince = NEVER;
            askAt = NEVER;
        }
        if (before != standing && (standing == Standing.STRAGGLER || before == Standing.STRAGGLER
                || standing == Standing.CONFLICT)) {
            actions.tell(standing + " on list " + own.listRev() + ", others act on " + newest);
        }
    }

    /** Others that prove one act on a later configuration: the file may hold it, unread. */
    private void config(long now) {
        List<Stamp> newer = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (i != me && states[i] == State.ALIVE && stamps[i] != null && Order.config(own, stamps[i]) == Order.NEWER) {
                newer.add(stamps[i]);
            }
        }
        if (deaf || newer.size() < needed()) {
            rereadAt = NEVER;
        } else if (rereadAt == NEVER) {
            // The signal is on its way as a rule; reading a file costs nobody else anything.
            rereadAt = now + settings.askLeast();
        }
    }

    /** Over so long the calls of all that are behind are spread, so that they come as often as all watches do in calm. */
    private long wave() {
        return behind() * Math.min(settings.spread(), settings.watch() / count);
    }

    /** How many are behind as far as is known, this one included: so many may be about to ask. */
    private int behind() {
        int behind = 1;
        for (int i = 0; i < count; i++) {
            behind += i != me && states[i] == State.ALIVE && stamps[i] != null && stamps[i].listRev() < newest ? 1 : 0;
        }
        return behind;
    }

    /** Those with most witnesses, up to the part that hearsay may take away, whoever says what. */
    private void avoid() {
        int most = ready.size() < 2 ? 0 : (int) Math.ceil(ready.size() * settings.away());
        int needed = needed();
        List<Map.Entry<Long, Hearsay>> proved = new ArrayList<>();
        for (Map.Entry<Long, Hearsay> one : hearsay.entrySet()) {
            if (one.getValue().witnesses.size() >= needed || !one.getValue().spent) {
                proved.add(one);
            }
        }
        proved.sort((a, b) -> a.getValue().witnesses.size() != b.getValue().witnesses.size()
                ? b.getValue().witnesses.size() - a.getValue().witnesses.size() : Long.compare(a.getKey(), b.getKey()));
        Set<Long> fresh = new TreeSet<>();
        for (Map.Entry<Long, Hearsay> one : proved.subList(0, Math.min(most, proved.size()))) {
            fresh.add(one.getKey());
        }
        if (!fresh.equals(avoided)) {
            avoided = fresh;
            actions.avoid(Set.copyOf(fresh));
        }
    }

    /**
     * Steps aside by what can be proved: a straggler, of whom at least half of the tier is alive and current, and who has one
     * of the few places that may be empty at once. Places go by number: whoever hears whom, no more than that are ever aside.
     */
    private void leave(long now) {
        int current = 0;
        for (int i = 0; i < count; i++) {
            current += i != me && states[i] == State.ALIVE && stamps[i] != null && stamps[i].listRev() >= newest ? 1 : 0;
        }
        boolean may = mayLeave(me, count, settings.part()) && 2 * current >= count && !keptIn;
        boolean out = standing == Standing.STRAGGLER && may || aside && standing == Standing.STRAGGLER && !keptIn;
        if (out != aside) {
            aside = out;
            actions.aside(out, out ? "behind list " + newest + " with " + own.listRev() + " for "
                    + (now - behindSince) / 1_000_000 + " ms" : "no straggler any more");
        }
    }

    /**
     * Whether a balancer has one of the places that may be empty: every fourth number, and never one of a tier of two. At most
     * a quarter of a tier, rounded up, can be aside at once, whatever hears nothing.
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

    /** The newest version that is proved, {@link Long#MIN_VALUE} where none is. */
    public long newest() {
        return newest;
    }

    /** The caches avoided on hearsay. */
    public Set<Long> avoided() {
        return avoided;
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
