package frostrelay.peers;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One balancer among its peers: who is there and what each acts on. Probes as SWIM does (straight,
 * then through others), doubts itself as Lifeguard does, and tells news to a few at a time. Decides
 * by events alone: it starts no thread, reads no clock and sends through {@link Actions}. For one
 * thread; moments are nanoseconds of one clock that never falls.
 *
 * <p>What a peer says is believed of itself only, by its incarnation and the number of its stamp;
 * of others it is passed on, and the one concerned may object. {@code docs/design/peers.md} has the
 * ways weighed.
 */
public final class Peers {
    /** Where datagrams go. */
    public interface Actions {
        /**
         * Sends one to a balancer, by its number. The bytes are the caller's again when this
         * returns.
         */
        void send(int to, byte[] data, int length);
    }

    /** Hears what changed in the knowledge of others; each method may be left out. */
    public interface Listener {
        /** {@code by}: who said so, by its number; itself for what it said itself. */
        default void onState(long now, int rank, long incarnation, State state, int by) {}

        /**
         * This balancer goes by another incarnation: it objected, or overtook an earlier life of
         * its name.
         */
        default void onOwn(long now, long incarnation) {}

        /**
         * A balancer acts on something else. {@code ref}: of the stamp, whose content may come
         * later.
         */
        default void onRow(long now, int rank, long incarnation, int sequence, int ref, long age) {}

        /** The content of a stamp is known now. */
        default void onContent(long now, int ref, Stamp stamp) {}

        /** A peer says, by its own list of that version, that a cache is not to be used. */
        default void onAway(long now, int from, long rev, long cache) {}

        /** Likewise that it may be used again, having been ruled out lately. */
        default void onBack(long now, int from, long rev, long cache) {}

        /**
         * A section of another module came, of a type from {@link Cargo#FIRST_TYPE} on; whatever it
         * holds is unchecked. {@code held}: so many nanoseconds it was held up on its way, over the
         * fastest way lately.
         */
        default void onCargo(
                long now, long held, int from, long incarnation, int type, ByteBuffer content) {}

        /**
         * A peer answered a probe: its life was {@code theirMs} old at some moment between {@code
         * sent} and now.
         */
        default void onClock(long now, int rank, long incarnation, long sent, long theirMs) {}
    }

    /** Counts since the start, for whoever prints them. */
    public static final class Counts {
        public long sent;
        public long sentBytes;
        public long received;
        public long damaged;
        public long foreign;
        public long oversized;
        public long newer;
        public long wrongSender;
        public long implausible;
        public long overCeiling;
        public long suspicions;
        public long objections;
        public long pauses;
    }

    private static final long MILLISECOND = 1_000_000L;
    private static final int NOBODY = 0xffff;

    /** News goes to so many at once when it is new, then to {@link #NEXT} every {@link #ROUND}. */
    private static final int FIRST = 3;

    private static final int NEXT = 2;

    /**
     * In tiers of so few others all are told at once, and once more: targets drawn by chance miss
     * one in five of four.
     */
    private static final int FEW = 8;

    private static final int COPIES = 2;

    /** Five times the slowest way: what came back from the first round is taken into the second. */
    private static final long ROUND = 150 * MILLISECOND;

    /** What comes within this is told together: half of a usual way. */
    private static final long GATHER = 10 * MILLISECOND;

    /**
     * Sends of each item are this times the logarithm of the fleet, to base 2: enough at 30% loss
     * for 99 of 100.
     */
    private static final double SENDS = 1.5;

    /** A probe is filled up to this with rows in turn, so that what rumours missed comes round. */
    private static final int FILLED = 102;

    /**
     * Probes and answers carry others' cargo up to this: two of them a second cost an eighth of the
     * ceiling.
     */
    private static final int LADEN = 134;

    private static final int HELPERS = 3;

    /**
     * Straight tries in a period; at the third, others are asked as well. At 30% loss all fail in
     * 15 of 1,000 periods.
     */
    private static final int TRIES = 5;

    private static final int OTHERS_AT = 2;

    /**
     * One probe in so many looks whether one that is gone is back: a healed partition is found so.
     */
    private static final int LOOK_BACK = 5;

    /** Suspicions by so many others cut the time to object to its least. */
    private static final int CONFIRMED = 3;

    private static final int UNCONFIRMED_FACTOR = 3;
    private static final int MOST_SELF_DOUBT = 4;

    /** A timer that comes so late tells of a pause of this process, not of its peers' silence. */
    private static final long PAUSE = 500 * MILLISECOND;

    private static final int MOST_STAMPS = 256;
    private static final int MOST_RELAYS = 64;
    private static final long AGE_UNIT = 100 * MILLISECOND;
    private static final int MOST_AGE = 255;
    private static final long NEVER = Long.MAX_VALUE;

    /** Of the ceiling; two probes and two answers in a second have the rest. */
    private static final double NEWS_PART = 5 / 8.0;

    /** Head, sum, a row and a stamp: with less room it is better to wait. */
    private static final int LEAST_NEWS = 106;

    private static final class Suspicion {
        final int rank;
        final long incarnation;
        final long since;
        final List<Integer> by = new ArrayList<>(CONFIRMED);

        Suspicion(int rank, long incarnation, long since) {
            this.rank = rank;
            this.incarnation = incarnation;
            this.since = since;
        }
    }

    /** What the own list of a version said of a cache. */
    private record Away(long rev, boolean back) {}

    private record Relay(int asker, int nonce, long until) {}

    private final PeerSettings settings;
    private final int me;
    private final Members members;
    private final SplittableRandom random;
    private final Actions actions;
    private final Listener listener;
    private final Ceiling ceiling;

    /** Of news alone: if it took the whole ceiling, the living would look dead. */
    private final Ceiling newsCeiling;

    private final Rumours rumours = new Rumours();
    private final Counts counts = new Counts();
    private final ByteBuffer out = ByteBuffer.allocate(Datagram.MOST);
    private final Hold hold = new Hold(out);
    private Cargo cargo = Cargo.NONE;
    private final long bornAt;
    private final long bornIncarnation;
    private final List<Suspicion> suspicions = new ArrayList<>();

    /** Those asked for others, by the nonce of the probe that went out for it. */
    private final Map<Integer, Relay> relays = new LinkedHashMap<>();

    private final Map<Integer, Stamp> stamps;

    /** Caches that the own list ruled out lately, and by which version. */
    private final Map<Long, Away> aways = new LinkedHashMap<>();

    private final int[] order;
    private int orderAt;
    private int rowAt;
    private int periods;
    private long periodAt;
    private int target = NOBODY;
    private int probeNonce;
    private int step;
    private long stepAt = NEVER;
    private long probeSent;
    private long rumourAt = NEVER;
    private boolean firstRound;
    private int selfDoubt;
    private long heardAt;
    private int lastNonce;
    private boolean left;

    /**
     * {@code me}: this balancer's number among {@code count}; {@code incarnation}: of this life, by
     * {@link Incarnation#of}; {@code stamp}: what it acts on from the first; {@code sequence}: how
     * often that had changed before in this life.
     */
    public Peers(
            PeerSettings settings,
            int me,
            int count,
            long now,
            long incarnation,
            long seed,
            Stamp stamp,
            int sequence,
            Actions actions,
            Listener listener) {
        if (me < 0 || me >= count || count > NOBODY) {
            throw new IllegalArgumentException("balancer " + me + " of " + count);
        }
        this.settings = settings;
        this.me = me;
        this.actions = actions;
        this.listener = listener;
        members = new Members(count);
        random = new SplittableRandom(seed);
        ceiling = new Ceiling(settings.ceiling());
        newsCeiling = new Ceiling(Math.max(Datagram.MOST, (int) (settings.ceiling() * NEWS_PART)));
        bornAt = now;
        bornIncarnation = incarnation;
        heardAt = now;
        stamps = new LinkedHashMap<>();
        order = new int[count - 1];
        for (int i = 0; i < order.length; i++) {
            order[i] = i < me ? i : i + 1;
        }
        shuffle();
        members.state(me, State.ALIVE);
        members.incarnations[me] = incarnation;
        members.refs[me] = stamp.ref();
        members.sequences[me] = sequence & 0xffff;
        members.saidAt[me] = now;
        keep(now, stamp.ref(), stamp);
        // Spread over a period: balancers that start together do not probe together.
        periodAt = now + random.nextLong(settings.period());
        tellOwn(now);
    }

    private void shuffle() {
        for (int i = order.length - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            int swap = order[i];
            order[i] = order[other];
            order[other] = swap;
        }
    }

    // What comes in.

    /**
     * This balancer acts on something else from now on; {@code sequence}: how often that has
     * changed in this life.
     */
    public void onStamp(long now, Stamp stamp, int sequence) {
        int ref = stamp.ref();
        members.refs[me] = ref;
        members.sequences[me] = sequence & 0xffff;
        keep(now, ref, stamp);
        tellOwn(now);
    }

    /** What rides along from now on. */
    public void carry(Cargo fresh) {
        cargo = fresh;
    }

    /**
     * The cargo holds something that others are to hear soon: it goes round as news does, each time
     * as it is then.
     */
    public void cargoChanged(long now) {
        rumour(now, Datagram.CARGO, NOBODY, 0, NOBODY, 0);
    }

    /**
     * Sends one section to one peer now; false where the ceiling does not let it through: it may be
     * tried again later.
     */
    public boolean post(long now, int to, int type, ByteBuffer content) {
        if (left
                || to == me
                || Math.min(ceiling.room(now), newsCeiling.room(now))
                        < Datagram.HEAD
                                + Datagram.SUM
                                + Datagram.CLOCK_BYTES
                                + Datagram.SECTION
                                + content.remaining()) {
            return false;
        }
        begin(now, Datagram.Kind.TELL, ++lastNonce, NOBODY);
        if (!hold.under(Datagram.MOST).add(type, content) || !post(now, to)) {
            return false;
        }
        newsCeiling.take(now, out.position());
        return true;
    }

    /** Each datagram says when it was written, by the clock of this life. */
    private void begin(long now, Datagram.Kind kind, int nonce, int subject) {
        Datagram.begin(out, settings.form(), kind, me, members.incarnations[me], nonce, subject);
        out.put((byte) Datagram.CLOCK)
                .put((byte) Integer.BYTES)
                .putInt((int) ((now - bornAt) / MILLISECOND));
    }

    private void tellOwn(long now) {
        rumour(now, Datagram.STAMP, NOBODY, 0, NOBODY, members.refs[me]);
        rumour(now, Datagram.ROWS, me, members.incarnations[me], me, 0);
    }

    /**
     * A datagram came from the address of the balancer {@code from}. Whatever it holds costs
     * bounded work.
     */
    public void onDatagram(long now, int from, byte[] data, int length) {
        counts.received++;
        if (left) {
            return;
        }
        Datagram.Flaw flaw = Datagram.flaw(data, length);
        if (flaw != null) {
            switch (flaw) {
                case DAMAGED -> counts.damaged++;
                case FOREIGN -> counts.foreign++;
                case OVERSIZED -> counts.oversized++;
                default -> counts.newer++;
            }
            return;
        }
        Datagram in = Datagram.read(data, length);
        if (in.sender != from || from < 0 || from >= members.count || from == me) {
            counts.wrongSender++;
            return;
        }
        if (!plausible(now, in.incarnation)) {
            counts.implausible++;
            return;
        }
        heard(now, from, in.incarnation);
        // Sections first: an answer is to be made with what came.
        boolean wanted = sections(now, in);
        switch (in.kind) {
            case PING -> answer(now, in);
            case ASK_OTHER -> askFor(now, in);
            case PONG -> answered(now, in);
            default -> {
                if (wanted) {
                    tell(now, from);
                }
            }
        }
    }

    private boolean plausible(long now, long incarnation) {
        return Incarnation.plausible(incarnation, bornIncarnation, (now - bornAt) / MILLISECOND);
    }

    /** A peer lives, by its own word. */
    private void heard(long now, int from, long incarnation) {
        heardAt = now;
        members.heardAt[from] = now;
        if (incarnation > members.incarnations[from]
                || members.state(from) == State.UNKNOWN
                        && incarnation == members.incarnations[from]) {
            revive(now, from, incarnation, from);
        }
        if (incarnation == members.incarnations[from] && members.state(from).takesPart()) {
            members.doubts[from] = 0;
            if (members.state(from) == State.ALIVE) {
                members.saidAt[from] = now;
            }
        }
    }

    private void revive(long now, int rank, long incarnation, int by) {
        boolean fresh = incarnation > members.incarnations[rank];
        boolean greeting = members.state(rank) == State.UNKNOWN;
        if (fresh) {
            if (Incarnation.unixMs(incarnation) != Incarnation.unixMs(members.incarnations[rank])) {
                // Another life: nothing is known of what it acts on.
                members.refs[rank] = Stamp.NO_REF;
                members.sequences[rank] = 0;
                members.saidAt[rank] = Members.NEVER;
            }
            members.incarnations[rank] = incarnation;
        }
        members.doubts[rank] = 0;
        suspicions.removeIf(one -> one.rank == rank);
        if (members.state(rank) != State.ALIVE) {
            members.state(rank, State.ALIVE);
            listener.onState(now, rank, incarnation, State.ALIVE, by);
        } else if (fresh) {
            listener.onState(now, rank, incarnation, State.ALIVE, by);
        }
        rumour(now, Datagram.ROWS, rank, incarnation, by, 0, greeting);
    }

    /**
     * Reads all sections; returns whether the sender wants a stamp's content that is known here.
     */
    private boolean sections(long now, Datagram in) {
        boolean wanted = false;
        long held = 0;
        ByteBuffer all = in.sections;
        while (all.remaining() >= Datagram.SECTION) {
            int type = all.get() & 0xff;
            int length = all.get() & 0xff;
            if (length > all.remaining()) {
                counts.damaged++;
                return wanted;
            }
            ByteBuffer section = all.slice(all.position(), length);
            all.position(all.position() + length);
            switch (type) {
                case Datagram.ROWS -> rows(now, in, section);
                case Datagram.STAMP -> {
                    if (length >= Stamp.BYTES) {
                        Stamp stamp = Stamp.read(section);
                        int ref = stamp.ref();
                        if (!stamps.containsKey(ref)) {
                            keep(now, ref, stamp);
                            rumour(now, Datagram.STAMP, NOBODY, 0, NOBODY, ref);
                        } else {
                            rumours.heardAgain(Datagram.STAMP, NOBODY, NOBODY, ref);
                        }
                    }
                }
                case Datagram.SUSPECT, Datagram.GONE, Datagram.LEFT ->
                        claim(now, in, type, section);
                case Datagram.WANT -> {
                    if (length >= Integer.BYTES) {
                        int ref = section.getInt();
                        if (stamps.containsKey(ref)) {
                            rumour(now, Datagram.STAMP, NOBODY, 0, NOBODY, ref);
                            wanted = true;
                        }
                    }
                }
                case Datagram.AWAY -> {
                    while (section.remaining() >= Datagram.AWAY_BYTES) {
                        listener.onAway(now, in.sender, section.getLong(), section.getLong());
                    }
                }
                case Datagram.BACK -> {
                    while (section.remaining() >= Datagram.AWAY_BYTES) {
                        listener.onBack(now, in.sender, section.getLong(), section.getLong());
                    }
                }
                case Datagram.CLOCK -> {
                    if (length < Integer.BYTES) {
                        continue;
                    }
                    long lived = section.getInt() & 0xffffffffL;
                    held = members.held(now, in.sender, Incarnation.unixMs(in.incarnation), lived);
                    if (in.kind == Datagram.Kind.PONG
                            && in.nonce == probeNonce
                            && in.sender == target
                            && in.subject == NOBODY) {
                        listener.onClock(now, in.sender, in.incarnation, probeSent, lived);
                    }
                }
                default -> {
                    // Others' cargo, or of a later build.
                    if (type >= Cargo.FIRST_TYPE) {
                        listener.onCargo(now, held, in.sender, in.incarnation, type, section);
                    }
                }
            }
        }
        return wanted;
    }

    private void rows(long now, Datagram in, ByteBuffer section) {
        if (section.remaining() < Integer.BYTES) {
            return;
        }
        int ref = section.getInt();
        while (section.remaining() >= Datagram.ROW) {
            int rank = section.getShort() & NOBODY;
            long incarnation = Datagram.u48(section);
            int sequence = section.getShort() & 0xffff;
            long age = (section.get() & 0xff) * AGE_UNIT;
            if (rank >= members.count) {
                continue;
            }
            if (!plausible(now, incarnation)) {
                counts.implausible++;
            } else if (rank == me) {
                aboutMe(now, incarnation, incarnation > members.incarnations[me]);
            } else {
                row(now, in.sender, rank, incarnation, sequence, ref, age);
            }
        }
    }

    private void row(
            long now, int by, int rank, long incarnation, int sequence, int ref, long age) {
        if (incarnation < members.incarnations[rank]) {
            return;
        }
        if (incarnation > members.incarnations[rank] || members.state(rank) == State.UNKNOWN) {
            revive(now, rank, incarnation, by);
        }
        boolean first = members.refs[rank] == Stamp.NO_REF;
        if (first || Members.later(sequence, members.sequences[rank])) {
            members.refs[rank] = ref;
            members.sequences[rank] = sequence;
            members.saidAt[rank] = Math.max(members.saidAt[rank], now - age);
            listener.onRow(now, rank, incarnation, sequence, ref, age);
            rumour(now, Datagram.ROWS, rank, incarnation, by, 0, first);
        } else if (sequence == members.sequences[rank]) {
            rumours.heardAgain(Datagram.ROWS, rank, by, 0);
            members.saidAt[rank] = Math.max(members.saidAt[rank], now - age);
        }
    }

    private void claim(long now, Datagram in, int type, ByteBuffer section) {
        if (section.remaining() < Datagram.CLAIM) {
            return;
        }
        int rank = section.getShort() & NOBODY;
        long incarnation = Datagram.u48(section);
        int by = section.getShort() & NOBODY;
        if (rank >= members.count || by >= members.count) {
            return;
        }
        if (!plausible(now, incarnation)) {
            counts.implausible++;
        } else if (rank == me) {
            aboutMe(now, incarnation, incarnation >= members.incarnations[me]);
        } else if (incarnation >= members.incarnations[rank]) {
            if (incarnation > members.incarnations[rank]) {
                members.incarnations[rank] = incarnation;
                members.refs[rank] = Stamp.NO_REF;
            }
            switch (type) {
                case Datagram.SUSPECT -> suspect(now, rank, by);
                case Datagram.GONE -> end(now, rank, State.GONE, by);
                default -> {
                    // Only the one concerned says that it ends; others pass it on.
                    end(now, rank, State.LEFT, by);
                }
            }
        }
    }

    /** Somebody says of this balancer what it would not, or knows a later life of it. */
    private void aboutMe(long now, long incarnation, boolean object) {
        if (!object) {
            return;
        }
        counts.objections++;
        members.incarnations[me] =
                Incarnation.unixMs(incarnation) == Incarnation.unixMs(members.incarnations[me])
                        ? Incarnation.next(incarnation)
                        : Incarnation.overtaking(incarnation);
        // Being suspected is a sign that this process is slow.
        selfDoubt = Math.min(MOST_SELF_DOUBT, selfDoubt + 1);
        listener.onOwn(now, members.incarnations[me]);
        tellOwn(now);
    }

    /**
     * By this balancer's own list of a version, a cache is not to be used any more, or may be used
     * again ({@code back}). Others that act on an older list care. One that was never ruled out is
     * news to nobody.
     */
    public void tellCache(long now, long rev, long cache, boolean back) {
        if (back && !aways.containsKey(cache)) {
            return;
        }
        aways.remove(cache);
        if (aways.size() >= MOST_STAMPS) {
            aways.remove(aways.keySet().iterator().next());
        }
        aways.put(cache, new Away(rev, back));
        rumour(now, Datagram.AWAY, NOBODY, cache, me, (int) cache);
    }

    // Suspicion.

    private void suspect(long now, int rank, int by) {
        State state = members.state(rank);
        if (state == State.GONE || state == State.LEFT) {
            return;
        }
        Suspicion found = null;
        for (Suspicion one : suspicions) {
            if (one.rank == rank) {
                found = one;
            }
        }
        if (found == null) {
            found = new Suspicion(rank, members.incarnations[rank], now);
            suspicions.add(found);
            members.state(rank, State.SUSPECTED);
            counts.suspicions++;
            listener.onState(now, rank, found.incarnation, State.SUSPECTED, by);
        }
        if (found.by.size() < CONFIRMED && !found.by.contains(by)) {
            found.by.add(by);
            rumour(now, Datagram.SUSPECT, rank, found.incarnation, by, 0);
        } else {
            rumours.heardAgain(Datagram.SUSPECT, rank, by, 0);
        }
    }

    /**
     * Others' suspicions shorten the wait: many that cannot reach it are unlikely to be all at
     * fault.
     */
    private long ends(Suspicion suspicion) {
        double scale = Math.max(1, Math.log10(members.count));
        double least = settings.object() * scale;
        double most = least * UNCONFIRMED_FACTOR * (1 + selfDoubt);
        double part = Math.log(suspicion.by.size()) / Math.log(CONFIRMED);
        return suspicion.since + (long) (most - (most - least) * Math.min(1, part));
    }

    private void end(long now, int rank, State state, int by) {
        if (members.state(rank) == State.GONE || members.state(rank) == State.LEFT) {
            rumours.heardAgain(Datagram.GONE, rank, by, 0);
            return;
        }
        suspicions.removeIf(one -> one.rank == rank);
        members.state(rank, state);
        listener.onState(now, rank, members.incarnations[rank], state, by);
        rumour(
                now,
                state == State.LEFT ? Datagram.LEFT : Datagram.GONE,
                rank,
                members.incarnations[rank],
                by,
                0);
    }

    // Probes.

    /** When {@link #onWake} is to be called next. */
    public long next() {
        if (left) {
            return NEVER;
        }
        long next = Math.min(Math.min(periodAt, stepAt), rumourAt);
        for (Suspicion one : suspicions) {
            next = Math.min(next, ends(one));
        }
        return next;
    }

    /** To be called at {@link #next}, or a little later. */
    public void onWake(long now) {
        if (left) {
            return;
        }
        long late = now - next();
        if (late > PAUSE) {
            // This process stood still: what it did not hear meanwhile speaks against nobody.
            counts.pauses++;
            selfDoubt = Math.min(MOST_SELF_DOUBT, selfDoubt + 1);
            target = NOBODY;
            stepAt = NEVER;
            List<Suspicion> again = new ArrayList<>();
            for (Suspicion one : suspicions) {
                Suspicion moved = new Suspicion(one.rank, one.incarnation, now);
                moved.by.addAll(one.by);
                again.add(moved);
            }
            suspicions.clear();
            suspicions.addAll(again);
            periodAt = Math.max(periodAt, now);
        }
        for (Suspicion one : List.copyOf(suspicions)) {
            if (now >= ends(one)) {
                end(now, one.rank, State.GONE, me);
            }
        }
        if (now >= periodAt) {
            periodEnds(now);
            periodAt = Math.max(periodAt + settings.period(), now + settings.period() / 2);
            probe(now);
        } else if (now >= stepAt) {
            step(now);
        }
        if (now >= rumourAt) {
            round(now);
        }
    }

    private void periodEnds(long now) {
        if (target == NOBODY) {
            return;
        }
        int unanswered = target;
        target = NOBODY;
        stepAt = NEVER;
        if (!members.state(unanswered).takesPart() || members.heardAt[unanswered] >= probeSent) {
            return;
        }
        selfDoubt = Math.min(MOST_SELF_DOUBT, selfDoubt + (deaf(now) ? 1 : 0));
        // A balancer that hears nobody has evidence against nobody.
        if (!deaf(now) && ++members.doubts[unanswered] >= settings.doubts()) {
            members.doubts[unanswered] = 0;
            suspect(now, unanswered, me);
        }
    }

    /** Whether nobody was heard for so long that nothing is known of the others. */
    public boolean deaf(long now) {
        return now - heardAt >= settings.deaf();
    }

    private void probe(long now) {
        if (order.length == 0) {
            return;
        }
        periods++;
        target = choose();
        if (target == NOBODY) {
            return;
        }
        probeNonce = ++lastNonce;
        probeSent = now;
        step = 0;
        step(now);
    }

    /**
     * One in doubt is asked again at once; then in turn, in an order drawn anew each time round, as
     * SWIM does.
     */
    private int choose() {
        boolean back = periods % LOOK_BACK == 0;
        for (int rank : order) {
            if (members.doubts[rank] > 0 && members.state(rank) == State.ALIVE) {
                return rank;
            }
        }
        for (int i = 0; i < order.length; i++) {
            if (orderAt >= order.length) {
                shuffle();
                orderAt = 0;
            }
            int rank = order[orderAt++];
            State state = members.state(rank);
            // Those that never came and those that went are asked now and then, the others in turn.
            if (state.takesPart()
                    || back
                    || state == State.UNKNOWN && periods <= 2 * order.length) {
                return rank;
            }
        }
        return NOBODY;
    }

    private void step(long now) {
        long again = settings.again() * (1 + selfDoubt);
        ping(now, target, probeNonce, step == 0);
        if (step == OTHERS_AT) {
            for (int helper : some(HELPERS, target)) {
                begin(now, Datagram.Kind.ASK_OTHER, probeNonce, target);
                post(now, helper);
            }
        }
        step++;
        stepAt = step < TRIES && now + again < periodAt ? now + again : NEVER;
    }

    private void ping(long now, int to, int nonce, boolean filled) {
        begin(now, Datagram.Kind.PING, nonce, NOBODY);
        State state = members.state(to);
        if (state == State.SUSPECTED || state == State.GONE || state == State.LEFT) {
            // So that it can object.
            putClaim(
                    state == State.SUSPECTED ? Datagram.SUSPECT : Datagram.GONE,
                    to,
                    members.incarnations[to],
                    me);
        }
        putRows(now, List.of(me), Datagram.MOST);
        want(to);
        remind(to);
        cargo.load(now, to, hold.under(LADEN));
        if (filled) {
            fill(now);
        }
        post(now, to);
    }

    /** Asks for the content of the stamp that the peer acts on, where it is not known. */
    private void want(int to) {
        int ref = members.refs[to];
        if (ref != Stamp.NO_REF
                && !stamps.containsKey(ref)
                && Datagram.room(out, Datagram.MOST) >= Integer.BYTES) {
            out.put((byte) Datagram.WANT).put((byte) Integer.BYTES).putInt(ref);
        }
    }

    /** A peer that acts on an older list may have missed which caches it should leave alone. */
    private void remind(int to) {
        Stamp theirs = aways.isEmpty() ? null : stamps.get(members.refs[to]);
        if (theirs == null) {
            return;
        }
        for (Map.Entry<Long, Away> away : aways.entrySet()) {
            if (away.getValue().rev > theirs.listRev()
                    && Datagram.room(out, Datagram.MOST) >= Datagram.AWAY_BYTES) {
                putAway(away.getKey(), away.getValue());
            }
        }
    }

    private void putAway(long cache, Away away) {
        out.put((byte) (away.back ? Datagram.BACK : Datagram.AWAY))
                .put((byte) Datagram.AWAY_BYTES)
                .putLong(away.rev)
                .putLong(cache);
    }

    /**
     * Rows in turn, up to a size at which a probe is still cheap; none while there is more urgent
     * talk.
     */
    private void fill(long now) {
        if (ceiling.room(now) < settings.ceiling() / 2) {
            return;
        }
        int room = Datagram.room(out, FILLED) - Integer.BYTES;
        int first = rowAt;
        while (room >= Datagram.ROW) {
            int ref = members.refs[rowAt];
            boolean told =
                    rowAt != me && ref != Stamp.NO_REF && members.state(rowAt) == State.ALIVE;
            if (told) {
                putRows(now, List.of(rowAt), FILLED);
                room = Datagram.room(out, FILLED) - Integer.BYTES;
            }
            rowAt = (rowAt + 1) % members.count;
            if (rowAt == first) {
                return;
            }
        }
    }

    private void answer(long now, Datagram in) {
        begin(now, Datagram.Kind.PONG, in.nonce, NOBODY);
        State state = members.state(in.sender);
        if (in.incarnation < members.incarnations[in.sender]
                || state == State.GONE
                || state == State.SUSPECTED
                || state == State.LEFT) {
            putClaim(
                    state == State.SUSPECTED ? Datagram.SUSPECT : Datagram.GONE,
                    in.sender,
                    members.incarnations[in.sender],
                    me);
        }
        putRows(now, List.of(me), Datagram.MOST);
        want(in.sender);
        remind(in.sender);
        cargo.load(now, in.sender, hold.under(LADEN));
        fill(now);
        post(now, in.sender);
    }

    /** Probes another for one that got no answer; what comes back is passed on. */
    private void askFor(long now, Datagram in) {
        if (in.subject >= members.count || in.subject == me || in.subject == in.sender) {
            return;
        }
        relays.values().removeIf(relay -> now > relay.until);
        if (relays.size() >= MOST_RELAYS) {
            return;
        }
        int nonce = ++lastNonce;
        relays.put(nonce, new Relay(in.sender, in.nonce, now + settings.period()));
        ping(now, in.subject, nonce, false);
    }

    private void answered(long now, Datagram in) {
        Relay relay = relays.remove(in.nonce);
        if (relay != null && in.subject == NOBODY && in.nonce != probeNonce) {
            begin(now, Datagram.Kind.PONG, relay.nonce, in.sender);
            putRows(now, List.of(in.sender), Datagram.MOST);
            post(now, relay.asker);
            return;
        }
        boolean straight = in.sender == target && in.subject == NOBODY;
        boolean through = in.subject == target;
        if (target != NOBODY && in.nonce == probeNonce && (straight || through)) {
            members.doubts[target] = 0;
            target = NOBODY;
            stepAt = NEVER;
            selfDoubt = Math.max(0, selfDoubt - 1);
        }
    }

    // News.

    private void rumour(long now, int type, int rank, long incarnation, int by, int ref) {
        rumour(now, type, rank, incarnation, by, ref, false);
    }

    private void rumour(
            long now, int type, int rank, long incarnation, int by, int ref, boolean greeting) {
        int sends =
                (int)
                        Math.ceil(
                                (greeting ? SENDS / 2 : SENDS)
                                        * (Math.log(members.count + 1.0) / Math.log(2)));
        sends = isFew() && !greeting ? Math.max(sends, COPIES * order.length) : sends;
        rumours.add(new Rumours.Item(type, rank, incarnation, by, ref, greeting, sends));
        firstRound = true;
        rumourAt = Math.min(rumourAt, now + GATHER);
    }

    private boolean isFew() {
        return order.length <= FEW;
    }

    private void round(long now) {
        List<Integer> targets = some(isFew() ? order.length : firstRound ? FIRST : NEXT, NOBODY);
        firstRound = false;
        boolean full = false;
        for (int to : targets) {
            full |= !rumours.isEmpty() && !tell(now, to);
        }
        // With nobody to tell, it is kept for whoever comes: a probe finds them.
        rumourAt =
                rumours.isEmpty() ? NEVER : now + (targets.isEmpty() ? settings.period() : ROUND);
    }

    /** Tells one peer what is new; false where the ceiling does not let it through. */
    private boolean tell(long now, int to) {
        List<Rumours.Item> hottest = rumours.hottest();
        // A flood of greetings leaves half of the room to changes, which are not to wait for it.
        int kept = !hottest.isEmpty() && hottest.get(0).greeting ? newsCeiling.most() / 2 : 0;
        int most =
                Math.min(Datagram.MOST, Math.min(ceiling.room(now), newsCeiling.room(now) - kept));
        if (most < LEAST_NEWS) {
            counts.overCeiling++;
            return false;
        }
        begin(now, Datagram.Kind.TELL, ++lastNonce, NOBODY);
        List<Rumours.Item> told = new ArrayList<>();
        List<Integer> rows = new ArrayList<>();
        int rowRoom = 0;
        boolean laden = false;
        for (Rumours.Item item : hottest) {
            int need =
                    Datagram.SECTION
                            + switch (item.type) {
                                case Datagram.STAMP -> Stamp.BYTES;
                                case Datagram.ROWS -> Datagram.ROW + Integer.BYTES;
                                case Datagram.AWAY -> Datagram.AWAY_BYTES;
                                case Datagram.CARGO -> 0;
                                default -> Datagram.CLAIM;
                            };
            if (Datagram.room(out, most) - rowRoom < need - Datagram.SECTION) {
                continue;
            }
            switch (item.type) {
                case Datagram.STAMP -> {
                    Stamp stamp = stamps.get(item.ref);
                    if (stamp != null) {
                        out.put((byte) Datagram.STAMP).put((byte) Stamp.BYTES);
                        stamp.write(out);
                    }
                }
                case Datagram.ROWS -> {
                    if (members.refs[item.rank] != Stamp.NO_REF) {
                        rows.add(item.rank);
                        // Rows of one stamp share a section: what that spares is used by the next
                        // datagram.
                        rowRoom += need;
                    }
                }
                case Datagram.AWAY -> {
                    Away away = aways.get(item.incarnation);
                    if (away != null) {
                        putAway(item.incarnation, away);
                    }
                }
                case Datagram.CARGO -> laden = true;
                default -> putClaim(item.type, item.rank, item.incarnation, item.by);
            }
            told.add(item);
        }
        rows.sort((a, b) -> Integer.compare(members.refs[a], members.refs[b]));
        putRows(now, rows, most);
        if (laden) {
            cargo.load(now, to, hold.under(most));
        }
        if (!told.isEmpty() && post(now, to)) {
            newsCeiling.take(now, out.position());
            told.forEach(item -> item.left--);
            rumours.sent();
        }
        return true;
    }

    /** Rows, in sections of one stamp each; those that do not fit are left out. */
    private void putRows(long now, List<Integer> ranks, int most) {
        int at = 0;
        while (at < ranks.size()) {
            int ref = members.refs[ranks.get(at)];
            int fit = (Datagram.room(out, most) - Integer.BYTES) / Datagram.ROW;
            int end = at;
            while (end < ranks.size() && end - at < fit && members.refs[ranks.get(end)] == ref) {
                end++;
            }
            if (end == at) {
                return;
            }
            out.put((byte) Datagram.ROWS)
                    .put((byte) (Integer.BYTES + Datagram.ROW * (end - at)))
                    .putInt(ref);
            for (; at < end; at++) {
                int rank = ranks.get(at);
                out.putShort((short) rank);
                Datagram.putU48(out, members.incarnations[rank]);
                out.putShort((short) members.sequences[rank]);
                long age = rank == me ? 0 : (now - members.saidAt[rank] + AGE_UNIT - 1) / AGE_UNIT;
                out.put((byte) Math.max(0, Math.min(MOST_AGE, age)));
            }
        }
    }

    private void putClaim(int type, int rank, long incarnation, int by) {
        if (Datagram.room(out, Datagram.MOST) < Datagram.CLAIM) {
            return;
        }
        out.put((byte) type).put((byte) Datagram.CLAIM).putShort((short) rank);
        Datagram.putU48(out, incarnation);
        out.putShort((short) by);
    }

    private boolean post(long now, int to) {
        int length = Datagram.finish(out);
        if (!ceiling.take(now, length)) {
            counts.overCeiling++;
            return false;
        }
        counts.sent++;
        counts.sentBytes += length;
        actions.send(to, out.array(), length);
        return true;
    }

    /** Up to so many others that are not known to be away, drawn; {@code but}: not this one. */
    private List<Integer> some(int most, int but) {
        List<Integer> found = new ArrayList<>(most);
        int from = order.length == 0 ? 0 : random.nextInt(order.length);
        // The order is drawn anew each time round; where to begin in it is drawn each time.
        int stride = order.length < 3 ? 1 : 1 + random.nextInt(order.length - 1);
        while (gcd(stride, order.length) > 1) {
            stride = stride % (order.length - 1) + 1;
        }
        for (int i = 0; i < order.length && found.size() < most; i++) {
            int rank = order[(int) ((from + (long) i * stride) % order.length)];
            State state = members.state(rank);
            if (rank != but && (state.takesPart() || state == State.UNKNOWN)) {
                found.add(rank);
            }
        }
        return found;
    }

    private static int gcd(int a, int b) {
        return b == 0 ? a : gcd(b, a % b);
    }

    private void keep(long now, int ref, Stamp stamp) {
        if (stamps.size() >= MOST_STAMPS) {
            // Those that nobody acts on go first; one that is asked for again is told again.
            int unused =
                    stamps.keySet().stream()
                            .filter(one -> !used(one))
                            .findFirst()
                            .orElse(stamps.keySet().iterator().next());
            stamps.remove(unused);
        }
        stamps.put(ref, stamp);
        listener.onContent(now, ref, stamp);
    }

    private boolean used(int ref) {
        for (int held : members.refs) {
            if (held == ref) {
                return true;
            }
        }
        return false;
    }

    /** Says that this balancer ends, to a few; nothing is sent from then on. */
    public void leave(long now) {
        if (left) {
            return;
        }
        for (int to : some(FIRST + NEXT, NOBODY)) {
            begin(now, Datagram.Kind.TELL, ++lastNonce, NOBODY);
            putClaim(Datagram.LEFT, me, members.incarnations[me], me);
            post(now, to);
        }
        left = true;
    }

    // What is known.

    /** What is known of a balancer at a moment. */
    public Known known(long now, int rank) {
        boolean never = members.saidAt[rank] == Members.NEVER;
        State state = rank != me && deaf(now) ? State.UNKNOWN : members.state(rank);
        int ref = members.refs[rank];
        long age = rank == me ? 0 : never ? -1 : now - members.saidAt[rank];
        return new Known(
                rank,
                state,
                members.incarnations[rank],
                members.sequences[rank],
                ref,
                stamps.get(ref),
                age);
    }

    /** How many balancers the tier has. */
    public int count() {
        return members.count;
    }

    /** This balancer's number. */
    public int rank() {
        return me;
    }

    /** Its incarnation now. */
    public long incarnation() {
        return members.incarnations[me];
    }

    /** What was sent and what was passed over so far. */
    public Counts counts() {
        return counts;
    }
}
