package frostrelay.emulator;

import frostrelay.peers.Incarnation;
import frostrelay.peers.Known;
import frostrelay.peers.PeerSettings;
import frostrelay.peers.Peers;
import frostrelay.peers.Stamp;
import frostrelay.peers.State;
import frostrelay.stragglers.Kind;
import frostrelay.stragglers.StragglerSettings;
import frostrelay.stragglers.Stragglers;

import org.apache.commons.rng.UniformRandomProvider;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A tier of balancers that talk, in simulated time, each with the real {@link Peers}: a network
 * between them that loses datagrams, takes its time and can be cut. The same seed gives the same
 * day.
 */
public final class SimPeers {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000_000_000L;
    private static final long CHANGED = 1_000_000L;

    /** A call of discovery, there and back. */
    private static final long CALL = 50 * MILLISECOND;

    private static final long WALL_MS = 1_790_000_000_000L;

    /** Discovery is down for some of them for so long. */
    public static final long LATE = 30_000_000_000L;

    /**
     * What is played.
     *
     * @param balancers in the tier
     * @param loss part of the datagrams that are lost
     * @param delayLeast and {@code delayMost}: a datagram's way, nanoseconds
     * @param ceiling bytes that each may send in any second
     * @param seconds how long, behind all of the others
     * @param changes balancers that change what they act on, one every four seconds from {@link
     *     #settled} on
     * @param together whether, besides, all of them change within 300 ms once, in the middle
     * @param killed balancers that die at {@link #settled}
     * @param late part of the balancers whose discovery tells them of the change together only
     *     {@link #LATE} later
     * @param askable whether a call of discovery out of turn brings the list to those that are told
     *     late: only their watches are lost
     * @param partition part of the balancers that is cut from the others for ten seconds from the
     *     middle on
     */
    public record Plan(
            int balancers,
            double loss,
            long delayLeast,
            long delayMost,
            int ceiling,
            int seconds,
            int changes,
            boolean together,
            int killed,
            double partition,
            double late,
            boolean askable,
            long seed) {
        /**
         * Seconds from the start until everybody has heard of everybody: the flood of a start is
         * not measured with the rest.
         */
        public int settled() {
            return 15 + balancers / 5;
        }

        private long middle() {
            return settled() + 4L * changes + 10;
        }

        /** The site's own ways: 2.1 to 30 ms. */
        public static Plan of(int balancers, double loss, int seconds, int changes, long seed) {
            return new Plan(
                    balancers,
                    loss,
                    2_100_000L,
                    30 * MILLISECOND,
                    PeerSettings.STANDARD.ceiling(),
                    seconds,
                    changes,
                    false,
                    0,
                    0,
                    0,
                    false,
                    seed);
        }
    }

    private final Plan plan;
    private final Timeline timeline = new Timeline();
    private final SimNetwork network;
    private final UniformRandomProvider events;
    private final Node[] nodes;
    private final List<Long> known = new ArrayList<>();
    private final List<Long> knownTogether = new ArrayList<>();
    private final List<Long> detected = new ArrayList<>();
    private int missed;
    private int episodes;
    private int falselyGone;
    private long quietBytes;
    private long quietDatagrams;
    private final List<Long> knewBehind = new ArrayList<>();
    private int asked;
    private int askedInSecond;
    private int mostAsked;
    private long askSecond;
    private int aside;
    private int mostAside;

    /**
     * By seconds from the change together on: calls out of turn, balancers that are behind, and
     * those that are aside.
     */
    private final List<int[]> course = new ArrayList<>();

    private long lastStraggler = -1;
    private boolean cut;
    private long cutEnds;
    private long togetherAt = Long.MAX_VALUE;

    private SimPeers(Plan plan) {
        this.plan = plan;
        network =
                new SimNetwork(
                        timeline,
                        Randoms.of(plan.seed, "network"),
                        plan.balancers,
                        plan.loss,
                        plan.delayLeast,
                        plan.delayMost);
        int side = (int) (plan.partition * plan.balancers);
        network.apart = (from, to) -> cut && from < side != to < side;
        events = Randoms.of(plan.seed, "events");
        nodes = new Node[plan.balancers];
    }

    /** Plays it and returns its figures. */
    public static Map<String, Object> play(Plan plan) {
        return new SimPeers(plan).play();
    }

    private static Stamp stamp(long number) {
        return new Stamp(1, 0, 7, number, number * 0x9E3779B97F4A7C15L, 0, 0);
    }

    private Map<String, Object> play() {
        for (int i = 0; i < nodes.length; i++) {
            int place = i;
            // They do not start in the same moment, nor a day apart.
            timeline.at(
                    events.nextLong(SECOND),
                    now -> (nodes[place] = new Node(place, now)).join(now));
        }
        for (int i = 0; i < plan.changes; i++) {
            timeline.at((plan.settled() + 4L * i) * SECOND, this::change);
        }
        if (plan.together) {
            togetherAt = plan.middle() * SECOND;
            for (int i = 0; i < nodes.length; i++) {
                int place = i;
                boolean late = i < plan.late * nodes.length;
                timeline.at(
                        togetherAt + events.nextLong(300 * MILLISECOND) + (late ? LATE : 0),
                        now -> nodes[place].told(now));
            }
            for (long second = 0; plan.late > 0 && second < plan.seconds; second++) {
                timeline.at(togetherAt + second * SECOND, this::look);
            }
        }
        for (int i = 0; i < plan.killed; i++) {
            timeline.at(plan.settled() * SECOND, this::kill);
        }
        if (plan.partition > 0) {
            long middle = plan.middle() * SECOND;
            cutEnds = middle + 10 * SECOND;
            timeline.at(middle, now -> cut = true);
            timeline.at(cutEnds, now -> cut = false);
        }
        timeline.run(plan.middle() * SECOND);
        long sent = network.bytes;
        long count = network.datagrams;
        timeline.run((plan.middle() + plan.seconds) * SECOND);
        quietBytes = network.bytes - sent;
        quietDatagrams = network.datagrams - count;
        return figures();
    }

    private void look(long now) {
        int behind = 0;
        for (Node node : nodes) {
            behind += node.number != CHANGED ? 1 : 0;
        }
        course.add(new int[] {asked, behind, aside});
    }

    private Map<String, Object> figures() {
        double hours = (plan.middle() + plan.seconds) / 3600.0;
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("balancers", plan.balancers);
        all.put("loss", plan.loss);
        all.put("seconds", plan.seconds);
        put(all, "known", known);
        all.put("knownMissed", missed);
        if (plan.together) {
            put(all, "knownTogether", knownTogether);
        }
        if (plan.killed > 0) {
            put(all, "detected", detected);
        }
        if (plan.late > 0) {
            put(all, "knewBehind", knewBehind);
            all.put("askedBehind", asked);
            all.put("mostAskedInASecond", mostAsked);
            all.put("calmCallsASecond", plan.balancers / 20.0);
            all.put("mostAside", mostAside);
            // Unknown where one is neither current nor aside at the end.
            boolean settled = true;
            for (Node node : nodes) {
                settled &= node.number == CHANGED || node.out;
            }
            all.put("lastStragglerMs", settled ? lastStraggler / MILLISECOND : null);
            all.put("asked", course.stream().map(one -> one[0]).toList());
            all.put("behind", course.stream().map(one -> one[1]).toList());
            all.put("aside", course.stream().map(one -> one[2]).toList());
        }
        all.put("falseSuspicionsAnHour", episodes / hours);
        all.put("falseSuspicionsAnHourEach", episodes / hours / plan.balancers);
        all.put("falselyGone", falselyGone);
        all.put("bytesASecondEach", quietBytes / (double) plan.seconds / plan.balancers);
        all.put("datagramsASecondEach", quietDatagrams / (double) plan.seconds / plan.balancers);
        all.put("mostBytesInASecond", network.busiest);
        // What the platform asks for it where each balancer has ten requests a second.
        all.put(
                "price",
                0.01 * (quietBytes / (double) plan.seconds) / (256 * 10.0 * plan.balancers));
        return all;
    }

    /** Median, 99th percentile and maximum, milliseconds; null for none. */
    static void put(Map<String, Object> all, String name, List<Long> values) {
        long[] sorted = values.stream().mapToLong(Long::longValue).sorted().toArray();
        for (double part : new double[] {0.5, 0.99, 1}) {
            all.put(
                    name + (part == 1 ? "Max" : "P" + Math.round(part * 100)) + "Ms",
                    sorted.length == 0
                            ? null
                            : sorted[
                                            (int)
                                                    Math.min(
                                                            sorted.length - 1,
                                                            Math.ceil(part * sorted.length) - 1)]
                                    / MILLISECOND);
        }
    }

    /** One balancer acts on something new: everybody is to know. */
    private void change(long now) {
        int place = events.nextInt(nodes.length);
        Node node = nodes[place];
        if (node.dead) {
            return;
        }
        node.acts(now, node.number + 1);
        int sequence = node.sequence;
        boolean[] knows = new boolean[nodes.length];
        for (Node other : nodes) {
            if (other != node && !other.dead) {
                other.waiting.put(place, new Waited(now, sequence, knows));
            }
        }
        timeline.at(
                now + 10 * SECOND,
                then -> {
                    for (Node other : nodes) {
                        Waited left = other.waiting.get(place);
                        if (left != null && left.sequence == sequence && !other.dead) {
                            other.waiting.remove(place);
                            missed++;
                        }
                    }
                });
    }

    private void kill(long now) {
        Node node = nodes[events.nextInt(nodes.length)];
        if (!node.dead) {
            node.dead = true;
            node.diedAt = now;
        }
    }

    private record Waited(long since, int sequence, boolean[] knows) {}

    private final class Node extends SimNetwork.Station implements Stragglers.Actions {
        private final Peers peers;
        private final Map<Integer, Waited> waiting = new LinkedHashMap<>();
        private final boolean[] newer;
        private long number = 1;
        private int sequence;
        private long diedAt;
        private boolean told;
        private final Stragglers stragglers;
        private boolean knew;
        private boolean out;
        private long lagWakeAt = Long.MAX_VALUE;

        Node(int place, long now) {
            network.super(place);
            newer = plan.together ? new boolean[plan.balancers] : new boolean[0];
            peers =
                    new Peers(
                            PeerSettings.STANDARD.under(plan.ceiling),
                            place,
                            plan.balancers,
                            now,
                            Incarnation.of(WALL_MS + now / MILLISECOND),
                            plan.seed * 31 + place,
                            stamp(1),
                            0,
                            this,
                            this);
            stragglers =
                    plan.late > 0
                            ? new Stragglers(
                                    StragglerSettings.STANDARD,
                                    place,
                                    plan.balancers,
                                    plan.seed + place,
                                    stamp(1),
                                    this)
                            : null;
        }

        /** What is known of another may have changed. */
        private void consider(long now, int rank) {
            if (stragglers == null || peers == null || rank == place) {
                return;
            }
            Known known = peers.known(now, rank);
            stragglers.onPeer(
                    now,
                    rank,
                    known.state(),
                    known.stamp(),
                    Incarnation.unixMs(known.incarnation()),
                    known.age());
            lagged(now);
        }

        private void lagged(long now) {
            if (!knew
                    && now >= togetherAt
                    && stragglers.standing() != Stragglers.Standing.CURRENT
                    && number != CHANGED
                    && stragglers.newest() == CHANGED) {
                knew = true;
                knewBehind.add(now - togetherAt);
            }
            long next = Math.max(now, stragglers.next(now));
            if (next < lagWakeAt) {
                lagWakeAt = next;
                timeline.at(
                        next,
                        then -> {
                            lagWakeAt = Long.MAX_VALUE;
                            stragglers.onWake(then);
                            lagged(then);
                        });
            }
        }

        @Override
        public void ask() {
            asked++;
            long second = timeline.now() / SECOND;
            askedInSecond = second == askSecond ? askedInSecond + 1 : 1;
            askSecond = second;
            mostAsked = Math.max(mostAsked, askedInSecond);
            if (plan.askable) {
                timeline.at(timeline.now() + CALL, this::told);
            }
        }

        @Override
        public void reread() {
            // All have one configuration.
        }

        @Override
        public void fetch(long digest, List<Integer> holders) {
            // Likewise.
        }

        @Override
        public void says() {
            // It serves nobody here.
        }

        @Override
        public void stays(Kind kind, long number, String why) {
            // Likewise.
        }

        @Override
        public void avoid(Set<Long> caches) {
            // No cache is in this model.
        }

        @Override
        public void aside(boolean on, String why) {
            aside += on ? 1 : -1;
            mostAside = Math.max(mostAside, aside);
            out = on;
            settled();
        }

        @Override
        public void tell(String what) {
            // Nobody reads along.
        }

        /** Discovery tells it the list. */
        void told(long now) {
            if (number != CHANGED) {
                acts(now, CHANGED);
                settled();
            }
        }

        /** It is current, or out: the last one counts. */
        private void settled() {
            if (timeline.now() >= togetherAt && plan.late > 0 && place < plan.late * nodes.length) {
                lastStraggler = Math.max(lastStraggler, timeline.now() - togetherAt);
            }
        }

        void acts(long now, long fresh) {
            number = fresh;
            peers.onStamp(now, stamp(fresh), ++sequence);
            schedule(now);
            if (stragglers != null) {
                stragglers.onOwn(now, stamp(fresh), Set.of());
                lagged(now);
            }
        }

        @Override
        Peers peers() {
            return peers;
        }

        @Override
        public void onState(long now, int rank, long incarnation, State state, int by) {
            consider(now, rank);
            Node other = nodes[rank];
            boolean lost =
                    other == null
                            || other.dead
                            || cut
                            || now < cutEnds + 5 * SECOND
                                    && plan.partition > 0
                                    && now > cutEnds - 10 * SECOND;
            if (state == State.SUSPECTED && !lost && by == place) {
                episodes++;
            }
            if (state == State.GONE && other != null) {
                if (other.dead && !other.told) {
                    other.told = true;
                    detected.add(now - other.diedAt);
                } else if (!lost) {
                    falselyGone++;
                }
            }
        }

        @Override
        public void onRow(long now, int rank, long incarnation, int row, int ref, long age) {
            consider(now, rank);
            Waited waited = waiting.get(rank);
            if (waited != null && row >= waited.sequence) {
                waiting.remove(rank);
                known.add(now - waited.since);
            }
            if (plan.together && now >= togetherAt && !newer[rank] && ref == TOGETHER) {
                newer[rank] = true;
                knownTogether.add(now - togetherAt);
            }
        }
    }

    private static final int TOGETHER = stamp(CHANGED).ref();
}
