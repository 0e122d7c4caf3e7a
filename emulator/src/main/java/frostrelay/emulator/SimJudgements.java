package frostrelay.emulator;

import frostrelay.judgements.JudgementSettings;
import frostrelay.judgements.Judgements;
import frostrelay.judgements.Seen;
import frostrelay.judgements.counts.Count;
import frostrelay.judgements.counts.CountSettings;
import frostrelay.judgements.counts.Counts;
import frostrelay.judgements.counts.Sum;
import frostrelay.peers.Incarnation;
import frostrelay.peers.PeerSettings;
import frostrelay.peers.Peers;
import frostrelay.peers.Stamp;
import frostrelay.peers.State;

import org.apache.commons.rng.UniformRandomProvider;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A tier of balancers in simulated time that tell each other what they see of their caches, each
 * with the real {@link Peers} and {@link Judgements}, and how many requests each takes, with the
 * real {@link Counts}: some caches fall silent for a while, all others fail now and then by chance.
 * The same seed gives the same day.
 */
public final class SimJudgements {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000_000_000L;
    private static final long WALL_MS = 1_790_000_000_000L;
    private static final long LEAST_WAY = 2_100_000L;
    private static final long MOST_WAY = 30 * MILLISECOND;

    /**
     * When a copy goes out for what is not answered, and so when silence is seen; and when an
     * answer is.
     */
    private static final long SILENT = 250 * MILLISECOND;

    private static final long ANSWERED = 40 * MILLISECOND;

    /** One read in so many goes to a lowered cache all the same. */
    private static final int LOOK = 8;

    /**
     * What is played.
     *
     * @param balancers in the tier
     * @param caches that all of them list
     * @param reads of each balancer a second
     * @param loss part of the datagrams that are lost
     * @param dead part of the caches that fall silent, {@code length} seconds long, from ten
     *     seconds behind the settling on
     * @param chance part of the attempts at a healthy cache that fail
     */
    public record Plan(
            int balancers,
            int caches,
            double reads,
            double loss,
            double dead,
            int length,
            double chance,
            long seed) {
        private long dies() {
            return (10 + 15 + balancers / 5) * SECOND;
        }

        private long back() {
            return dies() + length * SECOND;
        }

        private long ends() {
            return back() + 20 * SECOND;
        }

        private int deadCaches() {
            return Math.max(1, (int) Math.round(dead * caches));
        }
    }

    private final Plan plan;
    private final Timeline timeline = new Timeline();
    private final SimNetwork network;
    private final UniformRandomProvider reads;
    private final Node[] nodes;

    /** Who found a dead cache bad itself, in this order of moments. */
    private final List<List<Long>> finders = new ArrayList<>();

    private final long[] thirdAt;
    private long wronglyLowered;
    private long attemptsAtDead;
    private long attempts;
    private long taken;
    private long takenBefore;

    /**
     * Of each look at a balancer's count of the tier's requests: how far off its rate is, what it
     * covers, how old its oldest word is.
     */
    private final List<Double> errors = new ArrayList<>();

    private final List<Double> covers = new ArrayList<>();
    private final List<Long> ages = new ArrayList<>();
    private int outside;

    /**
     * By seconds from the death on: balancers that lower a dead cache, of all, and mean error of
     * the count.
     */
    private final List<Double> loweredBy = new ArrayList<>();

    private final List<Double> errorBy = new ArrayList<>();

    private SimJudgements(Plan plan) {
        this.plan = plan;
        network =
                new SimNetwork(
                        timeline,
                        Randoms.of(plan.seed, "network"),
                        plan.balancers,
                        plan.loss,
                        LEAST_WAY,
                        MOST_WAY);
        reads = Randoms.of(plan.seed, "reads");
        nodes = new Node[plan.balancers];
        thirdAt = new long[plan.caches];
        for (int i = 0; i < plan.caches; i++) {
            finders.add(new ArrayList<>());
        }
    }

    /** Plays it and returns its figures; times in milliseconds, null where nothing was seen. */
    public static Map<String, Object> play(Plan plan) {
        return new SimJudgements(plan).play();
    }

    private boolean dead(int cache, long now) {
        return cache < plan.deadCaches() && now >= plan.dies() && now < plan.back();
    }

    private Map<String, Object> play() {
        for (int i = 0; i < nodes.length; i++) {
            int place = i;
            timeline.at(
                    reads.nextLong(SECOND),
                    now -> (nodes[place] = new Node(place, now)).begin(now));
        }
        for (long second = plan.dies() - 5 * SECOND; second < plan.ends(); second += SECOND) {
            timeline.at(second, this::look);
        }
        timeline.run(plan.dies());
        long sent = network.bytes;
        timeline.run(plan.back());
        long spent = network.bytes - sent;
        timeline.run(plan.ends());
        return figures(spent);
    }

    /**
     * Looks once a second at what up to a hundred balancers make of the tier's requests, against
     * what clients asked.
     */
    private void look(long now) {
        double rate = taken - takenBefore;
        takenBefore = taken;
        double sum = 0;
        int looked = 0;
        for (int i = 0; i < nodes.length; i += Math.max(1, nodes.length / 100)) {
            Sum known = nodes[i].counts.sum(now, Count.FIRST_TRIES);
            double error = Math.abs(known.rate() / Math.max(1, plan.reads * nodes.length) - 1);
            errors.add(error);
            covers.add(known.covered() / (double) known.of());
            ages.add(known.oldest());
            outside += known.known() > taken || known.most() < taken ? 1 : 0;
            sum += error;
            looked++;
        }
        if (now >= plan.dies() && rate > 0) {
            int lowering = 0;
            for (Node node : nodes) {
                for (int cache = 0; cache < plan.deadCaches(); cache++) {
                    lowering += node.lowered.contains((long) cache) ? 1 : 0;
                }
            }
            loweredBy.add(100.0 * lowering / nodes.length / plan.deadCaches());
            errorBy.add(100 * sum / looked);
        }
    }

    private static double part(List<Double> values, double part) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get((int) Math.min(sorted.size() - 1, Math.ceil(part * sorted.size()) - 1));
    }

    private Map<String, Object> figures(long spent) {
        List<Long> third = new ArrayList<>();
        List<Long> behindThird = new ArrayList<>();
        List<Long> behindDeath = new ArrayList<>();
        int never = 0;
        int late = 0;
        for (int cache = 0; cache < plan.deadCaches(); cache++) {
            if (thirdAt[cache] == 0) {
                continue;
            }
            third.add(thirdAt[cache] - plan.dies());
            for (Node node : nodes) {
                long at = node.loweredAt[cache];
                if (at == 0) {
                    never++;
                } else {
                    behindThird.add(Math.max(0, at - thirdAt[cache]));
                    behindDeath.add(at - plan.dies());
                    late += at - thirdAt[cache] > SECOND ? 1 : 0;
                }
            }
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("balancers", plan.balancers);
        all.put("caches", plan.caches);
        all.put("loss", plan.loss);
        all.put("reads", plan.reads);
        all.put("dead", plan.deadCaches());
        SimPeers.put(all, "third", third);
        SimPeers.put(all, "loweredBehindThird", behindThird);
        SimPeers.put(all, "loweredBehindDeath", behindDeath);
        all.put("loweredLaterThanASecond", late);
        all.put("neverLowered", never);
        double room = (double) nodes.length * (plan.caches - plan.deadCaches()) * plan.ends();
        all.put("healthyLost", (1 - 1.0 / LOOK) * wronglyLowered / room);
        all.put("readsAtTheDead", attempts == 0 ? null : attemptsAtDead / (double) attempts);
        all.put("countErrorP50", part(errors, 0.5));
        all.put("countErrorP99", part(errors, 0.99));
        all.put("countCoverP50", part(covers, 0.5));
        all.put("countsOutsideTheirBounds", outside);
        SimPeers.put(all, "countAge", ages);
        all.put("loweredBy", loweredBy);
        all.put("errorBy", errorBy);
        all.put("bytesASecondEach", spent / (double) plan.length / nodes.length);
        all.put("mostBytesInASecond", network.busiest);
        return all;
    }

    private final class Node extends SimNetwork.Station implements Judgements.Actions {
        private final Peers peers;
        private final Judgements judgements;
        private final Counts counts;
        private final long[] loweredAt = new long[plan.caches];
        private final long[] since = new long[plan.caches];
        private Set<Long> lowered = Set.of();
        private long judgeAt = Long.MAX_VALUE;

        Node(int place, long now) {
            network.super(place);
            long life = Incarnation.of(WALL_MS + now / MILLISECOND);
            judgements =
                    new Judgements(
                            JudgementSettings.STANDARD,
                            place,
                            plan.balancers,
                            life,
                            (moment, rank) -> peers().known(moment, rank).state() == State.ALIVE,
                            this);
            peers =
                    new Peers(
                            PeerSettings.STANDARD,
                            place,
                            plan.balancers,
                            now,
                            life,
                            plan.seed * 31 + place,
                            new Stamp(1, 0, 7, 1, 1, 0, 0),
                            0,
                            this,
                            this);
            counts =
                    new Counts(
                            CountSettings.STANDARD,
                            place,
                            plan.balancers,
                            now,
                            life,
                            rank -> peers.known(timeline.now(), rank).state() == State.ALIVE,
                            this::post);
            peers.carry(
                    (moment, to, hold) -> {
                        judgements.load(moment, to, hold);
                        counts.load(moment, to, hold);
                    });
        }

        void begin(long now) {
            Map<Long, Long> listed = new LinkedHashMap<>();
            for (long cache = 0; cache < plan.caches; cache++) {
                listed.put(cache, 1L);
            }
            judgements.onList(now, listed);
            join(now);
            wakeJudge(now);
            later(now);
            tick(now);
        }

        private void tick(long now) {
            counts.tick(now);
            schedule(now);
            timeline.at(now + SECOND, this::tick);
        }

        private void later(long now) {
            double gap = -Math.log(1 - reads.nextDouble()) / plan.reads;
            timeline.at(now + (long) (gap * SECOND), this::read);
        }

        private void read(long now) {
            later(now);
            counts.add(Count.FIRST_TRIES);
            taken++;
            int cache = reads.nextInt(plan.caches);
            if (lowered.contains((long) cache) && reads.nextInt(LOOK) > 0) {
                return;
            }
            boolean out = now >= plan.dies() && now < plan.back();
            attempts += out ? 1 : 0;
            attemptsAtDead += out && dead(cache, now) ? 1 : 0;
            boolean silent = dead(cache, now) || reads.nextDouble() < plan.chance;
            timeline.at(
                    now + (silent ? SILENT : ANSWERED),
                    then -> {
                        judgements.onSeen(then, cache, silent ? Seen.SILENT : Seen.ANSWERED, now);
                        schedule(then);
                        wakeJudge(then);
                    });
        }

        private void wakeJudge(long now) {
            long next = Math.max(now, judgements.next());
            if (next < judgeAt) {
                judgeAt = next;
                timeline.at(
                        next,
                        then -> {
                            judgeAt = Long.MAX_VALUE;
                            judgements.onWake(then);
                            schedule(then);
                            wakeJudge(then);
                        });
            }
        }

        @Override
        Peers peers() {
            return peers;
        }

        @Override
        public void lower(Set<Long> caches) {
            long now = timeline.now();
            for (int cache = 0; cache < plan.caches; cache++) {
                boolean on = caches.contains((long) cache);
                if (on && since[cache] == 0) {
                    since[cache] = now;
                    if (dead(cache, now) && loweredAt[cache] == 0) {
                        loweredAt[cache] = now;
                    }
                } else if (!on && since[cache] > 0) {
                    wronglyLowered += cache < plan.deadCaches() ? 0 : now - since[cache];
                    since[cache] = 0;
                }
            }
            lowered = caches;
        }

        @Override
        public void changed() {
            peers.cargoChanged(timeline.now());
        }

        @Override
        public boolean post(int to, int type, ByteBuffer section) {
            return peers.post(timeline.now(), to, type, section);
        }

        @Override
        public void findsBad(long cache) {
            long now = timeline.now();
            if (dead((int) cache, now)) {
                List<Long> found = finders.get((int) cache);
                found.add(now);
                thirdAt[(int) cache] =
                        found.size() == JudgementSettings.STANDARD.witnesses()
                                ? now
                                : thirdAt[(int) cache];
            }
        }

        @Override
        public void onCargo(
                long now, long held, int from, long incarnation, int type, ByteBuffer content) {
            counts.onCargo(now, held, from, incarnation, type, content.duplicate());
            judgements.onCargo(now, held, from, incarnation, type, content);
            wakeJudge(now);
        }
    }
}
