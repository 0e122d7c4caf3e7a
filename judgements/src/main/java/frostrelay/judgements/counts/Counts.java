package frostrelay.judgements.counts;

import frostrelay.peers.Cargo;
import frostrelay.peers.Hold;
import frostrelay.peers.Incarnation;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;

/**
 * Counts over the fleet: what this balancer did, and what each other said that it had done,
 * first-hand. They ride on datagrams that go out anyway. What was not heard is not taken as
 * nothing: each sum says how many it covers, how old it is, and what it can be at most.
 *
 * <p>Under silence a sum slides to this balancer's own count times the balancers that are there,
 * which is what a balancer alone goes by; it comes back as the others are heard, one by one.
 * Decides nothing; for one thread; moments are nanoseconds of one clock that never falls. {@code
 * docs/design/shared-state.md} has the ways weighed.
 */
public final class Counts implements Cargo {
    /** Where what others are to hear goes besides riding along. */
    public interface Actions {
        /** Sends one section to one balancer now, if the bounds on talk let it through. */
        void post(int to, int type, ByteBuffer section);
    }

    private static final int SECTION = 34;
    private static final double SECOND = 1e9;

    /** One balancer's, as known here. */
    private static final class Heard {
        Vector vector;

        /** When its last word was written. */
        long at;

        /** Where its rates are taken from, and what they were. */
        long[] mark;

        long markAt;
        double[] rates = new double[Vector.KINDS];
        double[] fastest = new double[Vector.KINDS];

        void begin(Vector first, long now) {
            vector = first;
            at = now;
            mark = first.values();
            markAt = now;
            rates = null;
            fastest = new double[Vector.KINDS];
        }

        void move(long now, long window) {
            if (now - markAt < window) {
                return;
            }
            rates = new double[Vector.KINDS];
            for (int i = 0; i < Vector.KINDS; i++) {
                rates[i] = (vector.values()[i] - mark[i]) * SECOND / (now - markAt);
                fastest[i] = Math.max(fastest[i], rates[i]);
            }
            mark = vector.values();
            markAt = now;
        }
    }

    private final CountSettings settings;
    private final int me;
    private final int count;
    private final IntPredicate there;
    private final Actions actions;
    private final long[] own = new long[Vector.KINDS];
    private final Heard mine = new Heard();
    private final Map<Integer, Heard> others = new TreeMap<>();
    private final Map<Integer, Long> toldAt = new TreeMap<>();

    /** Whose turn it was last. */
    private int turn;

    private long refused;

    /**
     * {@code me}: this balancer's number among {@code count}; {@code there}: whether another is
     * there as far as is known.
     */
    public Counts(
            CountSettings settings,
            int me,
            int count,
            long now,
            long incarnation,
            IntPredicate there,
            Actions actions) {
        this.settings = settings;
        this.me = me;
        this.count = count;
        this.there = there;
        this.actions = actions;
        mine.begin(new Vector(life(incarnation), own.clone()), now);
    }

    private static long life(long incarnation) {
        return Incarnation.unixMs(incarnation);
    }

    /** This balancer did one more. */
    public void add(Count one) {
        own[one.ordinal()]++;
    }

    /**
     * A section came from a peer in that life of it, held up for so long on its way; one of another
     * module is passed over, and so is what nobody can have done.
     */
    public void onCargo(long now, long held, int from, long incarnation, int type, ByteBuffer in) {
        if (type != SECTION || from == me || from >= count) {
            return;
        }
        long at = now - held;
        if (held >= settings.forget() || !Vector.isWhole(in)) {
            refused++;
            return;
        }
        Vector said = Vector.read(life(incarnation), in);
        Heard heard = others.computeIfAbsent(from, rank -> new Heard());
        if (heard.vector == null || said.life() > heard.vector.life()) {
            heard.begin(said, at);
        } else if (said.life() == heard.vector.life()) {
            // A second more than the time since: what was under way when it was last heard came
            // late.
            double most = settings.most() * ((now - heard.at) / SECOND + 1);
            for (Count one : Count.values()) {
                if (said.of(one) - heard.vector.of(one) > most) {
                    refused++;
                    return;
                }
            }
            heard.vector = Vector.join(heard.vector, said);
            heard.at = Math.max(heard.at, at);
            heard.move(heard.at, settings.window());
        }
    }

    @Override
    public void load(long now, int to, Hold hold) {
        Long before = toldAt.get(to);
        if (before != null && now - before < settings.again() || hold.room() < Vector.bytes()) {
            return;
        }
        if (hold.add(SECTION, section())) {
            toldAt.put(to, now);
        }
    }

    private ByteBuffer section() {
        ByteBuffer out = ByteBuffer.allocate(Vector.bytes());
        new Vector(0, own).write(out);
        return out.flip();
    }

    /** Those that were told longest ago hear it now: what rides along misses some for seconds. */
    private void post(long now) {
        int left = count - 1 <= settings.few() ? settings.postsOfFew() : settings.posts();
        for (int i = 0; i < count && left > 0; i++) {
            turn = (turn + 1) % count;
            Long before = toldAt.get(turn);
            if (turn != me
                    && there.test(turn)
                    && (before == null || now - before >= settings.silent())) {
                actions.post(turn, SECTION, section());
                toldAt.put(turn, now);
                left--;
            }
        }
    }

    /** To be called once a second: own rates are taken then, and some are told straight. */
    public void tick(long now) {
        mine.vector = new Vector(mine.vector.life(), own.clone());
        mine.at = now;
        mine.move(now, settings.window());
        post(now);
    }

    /** What is known of a count over the tier now. */
    public Sum sum(long now, Count one) {
        int kind = one.ordinal();
        long known = own[kind];
        double most = known;
        double weights = 1;
        double rates = rate(mine, kind);
        int covered = 1;
        int all = 1;
        long oldest = 0;
        for (int i = 0; i < count; i++) {
            if (i == me || !there.test(i)) {
                continue;
            }
            all++;
            Heard heard = others.get(i);
            if (heard == null) {
                // What one has done of which nothing was ever heard is not nothing: it is not
                // known.
                most = Double.POSITIVE_INFINITY;
                continue;
            }
            long age = now - heard.at;
            long value = heard.vector.values()[kind];
            most +=
                    value
                            + age
                                    / SECOND
                                    * settings.leap()
                                    * Math.max(settings.least(), heard.fastest[kind]);
            if (age >= settings.forget()) {
                continue;
            }
            covered++;
            oldest = Math.max(oldest, age);
            known += value;
            if (heard.rates != null) {
                double weight = weight(age);
                weights += weight;
                rates += weight * heard.rates[kind];
            }
        }
        return new Sum(known, most, rates / weights * all, covered, all, oldest);
    }

    private static double rate(Heard heard, int kind) {
        return heard.rates == null ? 0 : heard.rates[kind];
    }

    /** Without a step: in full while it is fresh, then less with age. */
    private double weight(long age) {
        return Math.max(
                0,
                Math.min(
                        1,
                        (double) (settings.forget() - age)
                                / (settings.forget() - settings.fresh())));
    }

    /**
     * What each other said last, for operators: its number, life, age in nanoseconds, and its
     * counts in their order.
     */
    public record Row(int number, long life, long age, long[] values) {}

    /** All of them, by their numbers. */
    public List<Row> rows(long now) {
        List<Row> rows = new ArrayList<>();
        others.forEach(
                (number, heard) ->
                        rows.add(
                                new Row(
                                        number,
                                        heard.vector.life(),
                                        now - heard.at,
                                        heard.vector.values().clone())));
        return rows;
    }

    /** Words that were passed over as impossible. */
    public long refused() {
        return refused;
    }
}
