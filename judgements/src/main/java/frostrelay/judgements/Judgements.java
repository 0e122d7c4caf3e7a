package frostrelay.judgements;

import frostrelay.peers.Cargo;
import frostrelay.peers.Hold;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What this balancer makes of its caches, by its own attempts and by what others say that they saw.
 * Others' word is advice: it lowers a cache, never ends its traffic, and own fresh answers outweigh
 * it. Decides by events alone; for one thread; moments are nanoseconds of one clock that never
 * falls. {@code docs/design/shared-state.md} has the ways weighed.
 */
public final class Judgements implements Cargo {
    /** What comes of it. */
    public interface Actions {
        /** Exactly these caches are lowered from now on. */
        void lower(Set<Long> caches);

        /** Something is to be told soon, to whomever. */
        void changed();

        /**
         * Sends one section to one balancer now; false where the bounds on talk do not let it
         * through.
         */
        boolean post(int to, int type, ByteBuffer section);

        /** By its own attempts this balancer finds a cache bad, and did not before. */
        void findsBad(long cache);
    }

    /**
     * Whether another's word counts at a moment: it is heard, and acts on a list that is not old.
     */
    public interface Trust {
        boolean counts(long now, int rank);
    }

    /** What its writer says itself, and what another brings of it. */
    private static final int SECTION = 32;

    private static final int BROUGHT = 33;

    /** So much of a datagram is filled with one section. */
    private static final int MOST_SECTION = 180;

    private static final int MOST_CACHES = 4_096;

    /** Fewer others than this: all but one of them are the witnesses that it takes. */
    private static final int FEW = 4;

    /**
     * Contradicted by the others about so large a part of the caches that both know, one's word
     * counts for nothing.
     */
    private static final double CONTRADICTED = 0.5;

    private static final long NEVER = Long.MAX_VALUE;

    private final JudgementSettings settings;
    private final int me;
    private final int count;
    private final News news;
    private final Trust trust;
    private final Actions actions;
    private long life;

    /** The caches that the own list names as ready, and their starts. */
    private Map<Long, Integer> listed = Map.of();

    private final Map<Long, Own> own = new HashMap<>();
    private final Map<Long, Said> others = new HashMap<>();
    private Set<Long> lowered = Set.of();
    private boolean deaf;
    private long lookAt;

    /** When all others are told straight, in a small tier. */
    private long tellAt = NEVER;

    private long written;
    private long merged;
    private long refused;

    /** {@code me}: this balancer's number among {@code count}; {@code life}: its incarnation. */
    public Judgements(
            JudgementSettings settings,
            int me,
            int count,
            long life,
            Trust trust,
            Actions actions) {
        this.settings = settings;
        this.me = me;
        this.count = count;
        this.life = life;
        this.trust = trust;
        this.actions = actions;
        int sends = (int) Math.ceil(settings.sends() * Math.log(count + 1.0) / Math.log(2));
        news = new News(me, count, sends, settings.passes(), settings.forget());
    }

    // What comes in.

    /**
     * The caches that the own list names as ready, with their own starts in milliseconds. What is
     * known of another start is over.
     */
    public void onList(long now, Map<Long, Long> caches) {
        Map<Long, Integer> fresh = new HashMap<>();
        caches.forEach((cache, boot) -> fresh.put(cache, (int) (long) boot));
        own.keySet()
                .removeIf(
                        cache ->
                                !fresh.containsKey(cache)
                                        || listed.containsKey(cache)
                                                && !listed.get(cache).equals(fresh.get(cache)));
        listed = fresh;
        judge(now);
    }

    /** This balancer goes by another incarnation from now on. */
    public void onLife(long incarnation) {
        life = incarnation;
    }

    /** Whether anybody is heard at all. */
    public void onDeaf(long now, boolean nobody) {
        deaf = nobody;
        judge(now);
    }

    /** An attempt of this balancer at a cache, which began at {@code sentAt}, told this of it. */
    public void onSeen(long now, long cache, Seen seen, long sentAt) {
        Integer boot = listed.get(cache);
        if (boot == null) {
            return;
        }
        Own one = own.computeIfAbsent(cache, id -> new Own());
        one.see(now, seen, sentAt, settings.half());
        consider(now, cache, one, boot);
        if (lowered.contains(cache) || seen != Seen.ANSWERED) {
            judge(now);
        }
    }

    /** Writes what is news: bad after good, again while it is bad, and good after bad at once. */
    private void consider(long now, long cache, Own one, int boot) {
        boolean bad = one.isBad(now, settings);
        boolean was = one.written != null && one.written.isBad();
        boolean better = was && !bad;
        boolean worse = bad && !was && now - one.writtenAt >= settings.again();
        boolean renewed = bad && was && now - one.writtenAt >= settings.renew();
        if (better || worse || renewed) {
            boolean wanted = better || speakers(now, cache, boot) < settings.enough();
            one.write(now, me, life, boot, bad, settings.half());
            if (worse) {
                actions.findsBad(cache);
            }
            if (wanted) {
                written++;
                tell(now, cache, one.written, now);
            }
        }
    }

    private void tell(long now, long cache, Evidence one, long at) {
        news.add(cache, one, at);
        if (news.isFew()) {
            tellAt = Math.min(tellAt, now + settings.gather());
        } else {
            actions.changed();
        }
    }

    /**
     * A section came from a peer in that life of it, held up for so long on its way; one of another
     * module is passed over. What it brings of others is kept apart from what it says itself.
     */
    public void onCargo(long now, long held, int from, long incarnation, int type, ByteBuffer in) {
        boolean brought = type == BROUGHT;
        if (type != SECTION && !brought || from == me || from >= count) {
            return;
        }
        int bytes = brought ? Evidence.BROUGHT_BYTES : Evidence.BYTES;
        while (in.remaining() >= bytes) {
            Evidence.Read read = Evidence.read(in, from, incarnation, brought);
            Evidence one = read.evidence();
            boolean own =
                    one.rank() == me
                            || brought
                                    && (one.rank() == from || one.rank() >= count || !one.isBad());
            if (own
                    || read.age() + held >= settings.forget()
                    || others.size() >= MOST_CACHES && !others.containsKey(read.cache())) {
                refused++;
                continue;
            }
            Said said = others.computeIfAbsent(read.cache(), id -> new Said());
            long at = now - held - read.age();
            boolean taken = brought ? said.bring(from, one, at) : said.hear(one, at);
            merged += taken ? 1 : 0;
            if (taken
                    && !brought
                    && one.isBad()
                    && Integer.valueOf(one.boot()).equals(listed.get(read.cache()))) {
                pass(now, read.cache(), one, at);
            }
        }
        judge(now);
    }

    /**
     * What one has said itself is told on once, as its word, in tiers too large for it to tell
     * everybody.
     */
    private void pass(long now, long cache, Evidence one, long at) {
        if (news.isFew()) {
            return;
        }
        if (speakers(now, cache, one.boot()) > settings.enough()) {
            news.drop(cache);
        } else {
            tell(now, cache, one, at);
        }
    }

    @Override
    public void load(long now, int to, Hold hold) {
        put(now, to, hold, true);
        put(now, to, hold, false);
    }

    private void put(long now, int to, Hold hold, boolean own) {
        ByteBuffer section = news.next(now, to, Math.min(MOST_SECTION, hold.room()), own);
        if (section.hasRemaining()) {
            hold.add(own ? SECTION : BROUGHT, section);
        }
    }

    /**
     * In a small tier all are told straight; what got lost comes with the second copy, or with a
     * probe.
     */
    private void tellAll(long now) {
        tellAt = NEVER;
        for (int to = 0; to < count; to++) {
            if (to != me && news.has(to)) {
                ByteBuffer section = news.next(now, to, MOST_SECTION, true);
                if (section.hasRemaining() && !actions.post(to, SECTION, section)) {
                    news.missed(to);
                }
            }
        }
        tellAt = news.isEmpty() ? NEVER : now + settings.again();
    }

    // Judging.

    /** When {@link #onWake} is to be called next. */
    public long next() {
        return Math.min(lookAt, tellAt);
    }

    /** To be called at {@link #next}, or a little later: what is old is forgotten. */
    public void onWake(long now) {
        if (now >= tellAt) {
            tellAll(now);
        }
        if (now >= lookAt) {
            others.values().forEach(said -> said.forget(now, settings.forget()));
            others.values().removeIf(Said::isEmpty);
            judge(now);
        }
    }

    private int needed() {
        return count - 1 >= FEW ? settings.witnesses() : Math.max(1, count - 2);
    }

    /**
     * Others that say themselves that a cache is bad, whoever they are: enough of them need not be
     * told of more.
     */
    private int speakers(long now, long cache, int boot) {
        Said said = others.get(cache);
        return said == null ? 0 : said.speakers(now, settings.forget(), boot, true).size();
    }

    /**
     * Those whose word on most of the caches of which they speak, two at least, is contradicted by
     * others and shared by none.
     */
    private Set<Integer> contradicted(long now) {
        Map<Integer, int[]> counts = new HashMap<>();
        others.forEach(
                (cache, said) -> {
                    Integer boot = listed.get(cache);
                    if (boot == null) {
                        return;
                    }
                    Own mine = own.get(cache);
                    List<Integer> bad = said.speakers(now, settings.forget(), boot, true);
                    boolean well =
                            mine != null && mine.freshGood(now, settings.fresh())
                                    || !said.speakers(now, settings.forget(), boot, false)
                                            .isEmpty();
                    for (int rank : bad) {
                        int[] of = counts.computeIfAbsent(rank, one -> new int[2]);
                        of[0]++;
                        of[1] += well && bad.size() <= 1 ? 1 : 0;
                    }
                });
        Set<Integer> out = new HashSet<>();
        counts.forEach(
                (rank, of) -> {
                    if (of[1] >= 2 && of[1] > CONTRADICTED * of[0]) {
                        out.add(rank);
                    }
                });
        return out;
    }

    private record Doubt(long cache, int bad, int kinds) {
        /** Whether it was there whenever it was seen: connections came up and stayed. */
        boolean answersOthers() {
            return (kinds & Seen.NOT_THERE) == 0;
        }
    }

    private void judge(long now) {
        lookAt = now + settings.half() / 4;
        List<Doubt> doubts = new ArrayList<>();
        if (!deaf) {
            Set<Integer> passed = others.isEmpty() ? Set.of() : contradicted(now);
            others.forEach(
                    (cache, said) -> {
                        Integer boot = listed.get(cache);
                        Own mine = own.get(cache);
                        if (boot == null || mine != null && mine.freshGood(now, settings.fresh())) {
                            return;
                        }
                        Said.Sum sum =
                                said.sum(
                                        now,
                                        settings.forget(),
                                        boot,
                                        mine == null ? Long.MIN_VALUE : mine.answeredAt(),
                                        rank -> !passed.contains(rank) && trust.counts(now, rank));
                        if (sum.kinds() == Seen.SILENT.bit()
                                && mine != null
                                && mine.freshGood(now, settings.half())) {
                            // It is slow for some keys, and for what waits behind them on one
                            // connection.
                            return;
                        }
                        // Its own attempts are one more witness, who needs nobody's trust, but for
                        // one whose last attempt was answered.
                        int bad =
                                sum.bad()
                                        + (mine != null
                                                        && mine.failed()
                                                        && mine.isBad(now, settings)
                                                ? 1
                                                : 0);
                        if (bad > 2 * sum.good()) {
                            doubts.add(new Doubt(cache, bad, sum.kinds()));
                        }
                    });
        }
        // Where so many fail, or leave some unanswered, the cause is behind them all: no cache is
        // worse than another.
        int some = Math.max(1, news.isFew() ? needed() - 1 : needed());
        long common = doubts.stream().filter(one -> one.bad >= some && one.answersOthers()).count();
        doubts.removeIf(
                one ->
                        one.bad < needed()
                                || common > settings.common() * listed.size()
                                        && one.answersOthers());
        doubts.sort(
                Comparator.comparingInt((Doubt one) -> -one.bad).thenComparingLong(Doubt::cache));
        int most = listed.size() < 2 ? 0 : (int) Math.ceil(listed.size() * settings.lowered());
        Set<Long> fresh = new TreeSet<>();
        doubts.stream().limit(most).forEach(one -> fresh.add(one.cache));
        if (!fresh.equals(lowered)) {
            lowered = fresh;
            actions.lower(Set.copyOf(fresh));
        }
    }

    // What is known.

    /** The caches that are lowered. */
    public Set<Long> lowered() {
        return lowered;
    }

    /**
     * What others say of a cache, or are said to say, with the age of each in nanoseconds, by their
     * numbers.
     */
    public Map<Evidence, Long> said(long now, long cache) {
        Said said = others.get(cache);
        return said == null ? Map.of() : said.told(now);
    }

    /** Caches of which anybody says anything. */
    public Set<Long> spokenOf() {
        return new TreeSet<>(others.keySet());
    }

    /**
     * Evidence that was written here, that was taken from others, and that was passed over as old
     * or impossible.
     */
    public long[] counts() {
        return new long[] {written, merged, refused};
    }
}
