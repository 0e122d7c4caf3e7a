package frostrelay.emulator;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.GossipNode;
import frostrelay.gossip.GossipSettings;
import frostrelay.gossip.Incarnation;
import frostrelay.gossip.MemberSnapshot;
import frostrelay.gossip.MemberState;
import frostrelay.staleness.StalenessDetector;
import frostrelay.staleness.StalenessSettings;
import frostrelay.staleness.VersionKind;

import org.apache.commons.rng.UniformRandomProvider;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A simulated tier of balancers that gossip, each with the real {@link GossipNode}, over a network
 * with loss, delay and partitions. The same seed reproduces the same run.
 */
public final class SimGossip {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long CHANGED_LIST_REVISION = 1_000_000L;

    /** Round-trip time of a discovery call. */
    private static final long DISCOVERY_CALL_NANOS = 50 * NANOS_PER_MILLI;

    private static final long WALL_CLOCK_START_MILLIS = 1_790_000_000_000L;

    /** Delay of the list update for balancers whose discovery is late. */
    public static final long DISCOVERY_DELAY_NANOS = 30_000_000_000L;

    /**
     * Parameters of a run. *
     *
     * @param balancers number of balancers in the tier
     * @param loss fraction of datagrams lost
     * @param minDelayNanos shortest one-way delay of a datagram; {@code maxDelayNanos} is the
     *     longest
     * @param maxBytesPerSecond bytes that each balancer may send in any second
     * @param seconds length of the measured period, which follows the warm-up and the single
     *     changes
     * @param changes number of single changes of a balancer's applied list, one every four seconds
     *     from {@link #warmupSeconds} on
     * @param together whether all balancers also change their list within 300 ms at the start of
     *     the measured period
     * @param killed number of balancers killed at {@link #warmupSeconds}
     * @param late fraction of balancers that receive the common change from discovery {@link
     *     #DISCOVERY_DELAY_NANOS} later
     * @param askable whether an unscheduled discovery call returns the new list to the late
     *     balancers, as when only their watches are lost
     * @param partition fraction of balancers partitioned from the others for the first ten seconds
     *     of the measured period
     */
    public record Plan(
            int balancers,
            double loss,
            long minDelayNanos,
            long maxDelayNanos,
            int maxBytesPerSecond,
            int seconds,
            int changes,
            boolean together,
            int killed,
            double partition,
            double late,
            boolean askable,
            long seed) {
        /**
         * Returns the length of the warm-up, in which all members discover each other. The traffic
         * burst of the start is excluded from the measurements.
         */
        public int warmupSeconds() {
            return 15 + balancers / 5;
        }

        private long measureFromSeconds() {
            return warmupSeconds() + 4L * changes + 10;
        }

        /** Returns a plan with the one-way delays of the site's network, 2.1 to 30 ms. */
        public static Plan of(int balancers, double loss, int seconds, int changes, long seed) {
            return new Plan(
                    balancers,
                    loss,
                    2_100_000L,
                    30 * NANOS_PER_MILLI,
                    GossipSettings.STANDARD.maxBytesPerSecond(),
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
    private final UniformRandomProvider eventRandom;
    private final Node[] nodes;
    private final List<Long> propagationNanos = new ArrayList<>();
    private final List<Long> commonChangePropagationNanos = new ArrayList<>();
    private final List<Long> detectionNanos = new ArrayList<>();
    private int missedChanges;
    private int falseSuspicions;
    private int falseDeaths;
    private long idleBytes;
    private long idleDatagrams;
    private final List<Long> lagDetectionNanos = new ArrayList<>();
    private int pollCount;
    private int pollsInSecond;
    private int maxPollsInSecond;
    private long pollSecond;
    private int selfDrainingCount;
    private int maxSelfDraining;

    /**
     * Samples by second since the common change: unscheduled discovery calls so far, balancers with
     * an outdated list, and self-draining balancers.
     */
    private final List<int[]> samples = new ArrayList<>();

    private long lastCatchUpNanos = -1;
    private boolean isPartitioned;
    private long partitionEndsAtNanos;
    private long commonChangeAtNanos = Long.MAX_VALUE;

    private SimGossip(Plan plan) {
        this.plan = plan;
        network =
                new SimNetwork(
                        timeline,
                        RandomStreams.create(plan.seed, "network"),
                        plan.balancers,
                        plan.loss,
                        plan.minDelayNanos,
                        plan.maxDelayNanos);
        int side = (int) (plan.partition * plan.balancers);
        network.isPartitioned = (from, to) -> isPartitioned && from < side != to < side;
        eventRandom = RandomStreams.create(plan.seed, "events");
        nodes = new Node[plan.balancers];
    }

    /** Runs the plan and returns its results. */
    public static Map<String, Object> run(Plan plan) {
        return new SimGossip(plan).run();
    }

    private static AppliedVersions versions(long listRevision) {
        return new AppliedVersions(1, 0, 7, listRevision, listRevision * 0x9E3779B97F4A7C15L, 0, 0);
    }

    private Map<String, Object> run() {
        for (int i = 0; i < nodes.length; i++) {
            int nodeIndex = i;
            // Starts are spread over one second.
            timeline.schedule(
                    eventRandom.nextLong(NANOS_PER_SECOND),
                    now -> (nodes[nodeIndex] = new Node(nodeIndex, now)).join(now));
        }
        for (int i = 0; i < plan.changes; i++) {
            timeline.schedule((plan.warmupSeconds() + 4L * i) * NANOS_PER_SECOND, this::change);
        }
        if (plan.together) {
            commonChangeAtNanos = plan.measureFromSeconds() * NANOS_PER_SECOND;
            for (int i = 0; i < nodes.length; i++) {
                int nodeIndex = i;
                boolean late = i < plan.late * nodes.length;
                timeline.schedule(
                        commonChangeAtNanos
                                + eventRandom.nextLong(300 * NANOS_PER_MILLI)
                                + (late ? DISCOVERY_DELAY_NANOS : 0),
                        now -> nodes[nodeIndex].onListUpdate(now));
            }
            for (long second = 0; plan.late > 0 && second < plan.seconds; second++) {
                timeline.schedule(
                        commonChangeAtNanos + second * NANOS_PER_SECOND, this::recordSample);
            }
        }
        for (int i = 0; i < plan.killed; i++) {
            timeline.schedule(plan.warmupSeconds() * NANOS_PER_SECOND, this::kill);
        }
        if (plan.partition > 0) {
            long middle = plan.measureFromSeconds() * NANOS_PER_SECOND;
            partitionEndsAtNanos = middle + 10 * NANOS_PER_SECOND;
            timeline.schedule(middle, now -> isPartitioned = true);
            timeline.schedule(partitionEndsAtNanos, now -> isPartitioned = false);
        }
        timeline.runUntil(plan.measureFromSeconds() * NANOS_PER_SECOND);
        long sent = network.sentBytes;
        long count = network.sentDatagrams;
        timeline.runUntil((plan.measureFromSeconds() + plan.seconds) * NANOS_PER_SECOND);
        idleBytes = network.sentBytes - sent;
        idleDatagrams = network.sentDatagrams - count;
        return summarize();
    }

    private void recordSample(long now) {
        int outdatedCount = 0;
        for (Node node : nodes) {
            outdatedCount += node.listRevision != CHANGED_LIST_REVISION ? 1 : 0;
        }
        samples.add(new int[] {pollCount, outdatedCount, selfDrainingCount});
    }

    private Map<String, Object> summarize() {
        double hours = (plan.measureFromSeconds() + plan.seconds) / 3600.0;
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("balancers", plan.balancers);
        all.put("loss", plan.loss);
        all.put("seconds", plan.seconds);
        putPercentiles(all, "known", propagationNanos);
        all.put("knownMissed", missedChanges);
        if (plan.together) {
            putPercentiles(all, "knownTogether", commonChangePropagationNanos);
        }
        if (plan.killed > 0) {
            putPercentiles(all, "detected", detectionNanos);
        }
        if (plan.late > 0) {
            putPercentiles(all, "knewBehind", lagDetectionNanos);
            all.put("askedBehind", pollCount);
            all.put("mostAskedInASecond", maxPollsInSecond);
            all.put("calmCallsASecond", plan.balancers / 20.0);
            all.put("mostAside", maxSelfDraining);
            // Null if a balancer is neither current nor self-draining at the end.
            boolean settled = true;
            for (Node node : nodes) {
                settled &= node.listRevision == CHANGED_LIST_REVISION || node.isSelfDraining;
            }
            all.put("lastStragglerMs", settled ? lastCatchUpNanos / NANOS_PER_MILLI : null);
            all.put("asked", samples.stream().map(one -> one[0]).toList());
            all.put("behind", samples.stream().map(one -> one[1]).toList());
            all.put("aside", samples.stream().map(one -> one[2]).toList());
        }
        all.put("falseSuspicionsAnHour", falseSuspicions / hours);
        all.put("falseSuspicionsAnHourEach", falseSuspicions / hours / plan.balancers);
        all.put("falselyGone", falseDeaths);
        all.put("bytesASecondEach", idleBytes / (double) plan.seconds / plan.balancers);
        all.put("datagramsASecondEach", idleDatagrams / (double) plan.seconds / plan.balancers);
        all.put("mostBytesInASecond", network.maxBytesInSecond);
        // The platform's charge for this traffic if each balancer has ten requests a second.
        all.put(
                "price",
                0.01 * (idleBytes / (double) plan.seconds) / (256 * 10.0 * plan.balancers));
        return all;
    }

    /**
     * Adds the median, 99th percentile and maximum in milliseconds; null if there are no values.
     */
    static void putPercentiles(Map<String, Object> all, String name, List<Long> values) {
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
                                    / NANOS_PER_MILLI);
        }
    }

    /** Applies a new list at one balancer and expects all others to learn of it within 10 s. */
    private void change(long now) {
        int nodeIndex = eventRandom.nextInt(nodes.length);
        Node node = nodes[nodeIndex];
        if (node.isDead) {
            return;
        }
        node.applyList(now, node.listRevision + 1);
        int sequence = node.sequence;
        boolean[] knows = new boolean[nodes.length];
        for (Node other : nodes) {
            if (other != node && !other.isDead) {
                other.pendingChanges.put(nodeIndex, new PendingChange(now, sequence, knows));
            }
        }
        timeline.schedule(
                now + 10 * NANOS_PER_SECOND,
                then -> {
                    for (Node other : nodes) {
                        PendingChange left = other.pendingChanges.get(nodeIndex);
                        if (left != null && left.sequence == sequence && !other.isDead) {
                            other.pendingChanges.remove(nodeIndex);
                            missedChanges++;
                        }
                    }
                });
    }

    private void kill(long now) {
        Node node = nodes[eventRandom.nextInt(nodes.length)];
        if (!node.isDead) {
            node.isDead = true;
            node.diedAtNanos = now;
        }
    }

    private record PendingChange(long sinceNanos, int sequence, boolean[] knows) {}

    private final class Node extends SimNetwork.Station implements StalenessDetector.Actions {
        private final GossipNode peers;
        private final Map<Integer, PendingChange> pendingChanges = new LinkedHashMap<>();
        private final boolean[] knowsCommonChange;
        private long listRevision = 1;
        private int sequence;
        private long diedAtNanos;
        private boolean isDeathDetected;
        private final StalenessDetector stalenessDetector;
        private boolean hasDetectedLag;
        private boolean isSelfDraining;
        private long lagTimerAtNanos = Long.MAX_VALUE;

        Node(int nodeIndex, long now) {
            network.super(nodeIndex);
            knowsCommonChange = plan.together ? new boolean[plan.balancers] : new boolean[0];
            peers =
                    new GossipNode(
                            GossipSettings.STANDARD.withMaxBytesPerSecond(plan.maxBytesPerSecond),
                            nodeIndex,
                            plan.balancers,
                            now,
                            Incarnation.fromUnixMillis(
                                    WALL_CLOCK_START_MILLIS + now / NANOS_PER_MILLI),
                            plan.seed * 31 + nodeIndex,
                            versions(1),
                            0,
                            this,
                            this);
            stalenessDetector =
                    plan.late > 0
                            ? new StalenessDetector(
                                    StalenessSettings.STANDARD,
                                    nodeIndex,
                                    plan.balancers,
                                    plan.seed + nodeIndex,
                                    versions(1),
                                    this)
                            : null;
        }

        /** Passes the gossiped state of a peer to the staleness detector. */
        private void refreshPeerState(long now, int rank) {
            if (stalenessDetector == null || peers == null || rank == index) {
                return;
            }
            MemberSnapshot known = peers.snapshot(now, rank);
            stalenessDetector.onPeerState(
                    now,
                    rank,
                    known.state(),
                    known.appliedVersions(),
                    Incarnation.toUnixMillis(known.incarnation()),
                    known.ageNanos());
            updateLag(now);
        }

        private void updateLag(long now) {
            if (!hasDetectedLag
                    && now >= commonChangeAtNanos
                    && stalenessDetector.listStanding() != StalenessDetector.Standing.CURRENT
                    && listRevision != CHANGED_LIST_REVISION
                    && stalenessDetector.newestListRevision() == CHANGED_LIST_REVISION) {
                hasDetectedLag = true;
                lagDetectionNanos.add(now - commonChangeAtNanos);
            }
            long next = Math.max(now, stalenessDetector.nextTimerAtNanos(now));
            if (next < lagTimerAtNanos) {
                lagTimerAtNanos = next;
                timeline.schedule(
                        next,
                        then -> {
                            lagTimerAtNanos = Long.MAX_VALUE;
                            stalenessDetector.onTimer(then);
                            updateLag(then);
                        });
            }
        }

        @Override
        public void pollEndpointList() {
            pollCount++;
            long second = timeline.now() / NANOS_PER_SECOND;
            pollsInSecond = second == pollSecond ? pollsInSecond + 1 : 1;
            pollSecond = second;
            maxPollsInSecond = Math.max(maxPollsInSecond, pollsInSecond);
            if (plan.askable) {
                timeline.schedule(timeline.now() + DISCOVERY_CALL_NANOS, this::onListUpdate);
            }
        }

        @Override
        public void rereadConfig() {
            // All balancers share one configuration.
        }

        @Override
        public void fetchConfig(long digest, List<Integer> holders) {
            // All balancers share one configuration.
        }

        @Override
        public void announceFailingVersions() {
            // The model serves no requests.
        }

        @Override
        public void onVersionNotFollowed(VersionKind kind, long number, String why) {
            // The model serves no requests.
        }

        @Override
        public void avoidCaches(Set<Long> caches) {
            // The model has no caches.
        }

        @Override
        public void setSelfDraining(boolean on, String why) {
            selfDrainingCount += on ? 1 : -1;
            maxSelfDraining = Math.max(maxSelfDraining, selfDrainingCount);
            isSelfDraining = on;
            recordCatchUp();
        }

        @Override
        public void notifyOperators(String what) {
            // The model has no operators.
        }

        /** Receives the changed list from discovery. */
        void onListUpdate(long now) {
            if (listRevision != CHANGED_LIST_REVISION) {
                applyList(now, CHANGED_LIST_REVISION);
                recordCatchUp();
            }
        }

        /**
         * Records when a late balancer caught up or changed its self-draining state; the latest
         * time counts.
         */
        private void recordCatchUp() {
            if (timeline.now() >= commonChangeAtNanos
                    && plan.late > 0
                    && index < plan.late * nodes.length) {
                lastCatchUpNanos = Math.max(lastCatchUpNanos, timeline.now() - commonChangeAtNanos);
            }
        }

        void applyList(long now, long revision) {
            listRevision = revision;
            peers.updateAppliedVersions(now, versions(revision), ++sequence);
            schedule(now);
            if (stalenessDetector != null) {
                stalenessDetector.onLocalVersions(now, versions(revision), Set.of());
                updateLag(now);
            }
        }

        @Override
        GossipNode peers() {
            return peers;
        }

        @Override
        public void onMemberState(long now, int rank, long incarnation, MemberState state, int by) {
            refreshPeerState(now, rank);
            Node other = nodes[rank];
            boolean isExcused =
                    other == null
                            || other.isDead
                            || isPartitioned
                            || now < partitionEndsAtNanos + 5 * NANOS_PER_SECOND
                                    && plan.partition > 0
                                    && now > partitionEndsAtNanos - 10 * NANOS_PER_SECOND;
            if (state == MemberState.SUSPECTED && !isExcused && by == index) {
                falseSuspicions++;
            }
            if (state == MemberState.GONE && other != null) {
                if (other.isDead && !other.isDeathDetected) {
                    other.isDeathDetected = true;
                    detectionNanos.add(now - other.diedAtNanos);
                } else if (!isExcused) {
                    falseDeaths++;
                }
            }
        }

        @Override
        public void onMemberEntry(
                long now, int rank, long incarnation, int row, int ref, long age) {
            refreshPeerState(now, rank);
            PendingChange pending = pendingChanges.get(rank);
            if (pending != null && row >= pending.sequence) {
                pendingChanges.remove(rank);
                propagationNanos.add(now - pending.sinceNanos);
            }
            if (plan.together
                    && now >= commonChangeAtNanos
                    && !knowsCommonChange[rank]
                    && ref == CHANGED_FINGERPRINT) {
                knowsCommonChange[rank] = true;
                commonChangePropagationNanos.add(now - commonChangeAtNanos);
            }
        }
    }

    private static final int CHANGED_FINGERPRINT = versions(CHANGED_LIST_REVISION).fingerprint();
}
