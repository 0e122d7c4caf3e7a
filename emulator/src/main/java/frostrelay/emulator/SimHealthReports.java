package frostrelay.emulator;

import frostrelay.counters.ClusterCounter;
import frostrelay.counters.ClusterCounterSettings;
import frostrelay.counters.ClusterCounters;
import frostrelay.counters.CounterTotal;
import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.GossipNode;
import frostrelay.gossip.GossipSettings;
import frostrelay.gossip.Incarnation;
import frostrelay.gossip.MemberState;
import frostrelay.healthreports.AttemptObservation;
import frostrelay.healthreports.HealthReportAggregator;
import frostrelay.healthreports.HealthReportSettings;

import org.apache.commons.rng.UniformRandomProvider;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A simulated tier of balancers that exchange health reports about their caches and request
 * counters. Each balancer runs the real {@link GossipNode}, {@link HealthReportAggregator} and
 * {@link ClusterCounters}. Some caches stop responding for the length of an outage; attempts at all
 * others fail at random. The same seed reproduces the same run.
 */
public final class SimHealthReports {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long WALL_CLOCK_START_MILLIS = 1_790_000_000_000L;
    private static final long MIN_DELAY_NANOS = 2_100_000L;
    private static final long MAX_DELAY_NANOS = 30 * NANOS_PER_MILLI;

    /** Time after which an unanswered attempt is hedged and reported as unresponsive. */
    private static final long NO_RESPONSE_NANOS = 250 * NANOS_PER_MILLI;

    /** Response time of a healthy cache. */
    private static final long RESPONSE_NANOS = 40 * NANOS_PER_MILLI;

    /** One read out of this many is still sent to an ejected cache. */
    private static final int EJECTED_READ_INTERVAL = 8;

    /**
     * Parameters of a run. *
     *
     * @param balancers number of balancers in the tier
     * @param caches number of caches on every balancer's endpoint list
     * @param readsPerSecond read rate of each balancer
     * @param lossFraction fraction of datagrams lost
     * @param failedCacheFraction fraction of caches that stop responding for {@code outageSeconds},
     *     starting ten seconds after the warm-up
     * @param randomFailureFraction fraction of attempts at a healthy cache that fail
     */
    public record Plan(
            int balancers,
            int caches,
            double readsPerSecond,
            double lossFraction,
            double failedCacheFraction,
            int outageSeconds,
            double randomFailureFraction,
            long seed) {
        private long outageStartNanos() {
            return (10 + 15 + balancers / 5) * NANOS_PER_SECOND;
        }

        private long outageEndNanos() {
            return outageStartNanos() + outageSeconds * NANOS_PER_SECOND;
        }

        private long endNanos() {
            return outageEndNanos() + 20 * NANOS_PER_SECOND;
        }

        private int failedCacheCount() {
            return Math.max(1, (int) Math.round(failedCacheFraction * caches));
        }
    }

    private final Plan plan;
    private final Timeline timeline = new Timeline();
    private final SimNetwork network;
    private final UniformRandomProvider readRandom;
    private final Node[] nodes;

    /**
     * For each cache, the times at which balancers detected its failure from their own attempts, in
     * order.
     */
    private final List<List<Long>> detectionTimesNanos = new ArrayList<>();

    private final long[] quorumAtNanos;
    private long falseEjectionNanos;
    private long attemptsAtFailedCaches;
    private long attemptsDuringOutage;
    private long totalRequests;
    private long previousTotalRequests;

    /**
     * Relative error of the estimated request rate of the tier, one entry per sampled balancer; the
     * next two lists hold the fraction of members covered and the age of the oldest report.
     */
    private final List<Double> rateErrors = new ArrayList<>();

    private final List<Double> coverages = new ArrayList<>();
    private final List<Long> oldestReportAges = new ArrayList<>();
    private int boundViolations;

    /**
     * Percentage of balancers that eject a failed cache, by second since the outage began; the next
     * list holds the mean error of the request rate.
     */
    private final List<Double> ejectedPercentBySecond = new ArrayList<>();

    private final List<Double> rateErrorPercentBySecond = new ArrayList<>();

    private SimHealthReports(Plan plan) {
        this.plan = plan;
        network =
                new SimNetwork(
                        timeline,
                        RandomStreams.create(plan.seed, "network"),
                        plan.balancers,
                        plan.lossFraction,
                        MIN_DELAY_NANOS,
                        MAX_DELAY_NANOS);
        readRandom = RandomStreams.create(plan.seed, "reads");
        nodes = new Node[plan.balancers];
        quorumAtNanos = new long[plan.caches];
        for (int i = 0; i < plan.caches; i++) {
            detectionTimesNanos.add(new ArrayList<>());
        }
    }

    /**
     * Runs the plan and returns its results; times are in milliseconds, null if there were no
     * samples.
     */
    public static Map<String, Object> run(Plan plan) {
        return new SimHealthReports(plan).run();
    }

    private boolean isFailed(int cache, long now) {
        return cache < plan.failedCacheCount()
                && now >= plan.outageStartNanos()
                && now < plan.outageEndNanos();
    }

    private Map<String, Object> run() {
        for (int i = 0; i < nodes.length; i++) {
            int index = i;
            timeline.schedule(
                    readRandom.nextLong(NANOS_PER_SECOND),
                    now -> (nodes[index] = new Node(index, now)).start(now));
        }
        for (long second = plan.outageStartNanos() - 5 * NANOS_PER_SECOND;
                second < plan.endNanos();
                second += NANOS_PER_SECOND) {
            timeline.schedule(second, this::recordSample);
        }
        timeline.runUntil(plan.outageStartNanos());
        long bytesBeforeOutage = network.sentBytes;
        timeline.runUntil(plan.outageEndNanos());
        long outageBytes = network.sentBytes - bytesBeforeOutage;
        timeline.runUntil(plan.endNanos());
        return summarize(outageBytes);
    }

    /**
     * Compares, once a second, the tier's request count as estimated by a sample of the balancers
     * (every one in small tiers) with the requests actually made.
     */
    private void recordSample(long now) {
        double rate = totalRequests - previousTotalRequests;
        previousTotalRequests = totalRequests;
        double errorSum = 0;
        int sampledNodes = 0;
        for (int i = 0; i < nodes.length; i += Math.max(1, nodes.length / 100)) {
            CounterTotal total = nodes[i].clusterCounters.total(now, ClusterCounter.FIRST_TRIES);
            double error =
                    Math.abs(
                            total.ratePerSecond() / Math.max(1, plan.readsPerSecond * nodes.length)
                                    - 1);
            rateErrors.add(error);
            coverages.add(total.coveredMembers() / (double) total.aliveMembers());
            oldestReportAges.add(total.oldestAgeNanos());
            boundViolations +=
                    total.known() > totalRequests || total.upperBound() < totalRequests ? 1 : 0;
            errorSum += error;
            sampledNodes++;
        }
        if (now >= plan.outageStartNanos() && rate > 0) {
            int ejections = 0;
            for (Node node : nodes) {
                for (int cache = 0; cache < plan.failedCacheCount(); cache++) {
                    ejections += node.ejectedCaches.contains((long) cache) ? 1 : 0;
                }
            }
            ejectedPercentBySecond.add(100.0 * ejections / nodes.length / plan.failedCacheCount());
            rateErrorPercentBySecond.add(100 * errorSum / sampledNodes);
        }
    }

    private static double percentile(List<Double> values, double fraction) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get(
                (int) Math.min(sorted.size() - 1, Math.ceil(fraction * sorted.size()) - 1));
    }

    private Map<String, Object> summarize(long outageBytes) {
        List<Long> quorumDelays = new ArrayList<>();
        List<Long> ejectionAfterQuorum = new ArrayList<>();
        List<Long> ejectionAfterFailure = new ArrayList<>();
        int neverEjected = 0;
        int lateEjections = 0;
        for (int cache = 0; cache < plan.failedCacheCount(); cache++) {
            if (quorumAtNanos[cache] == 0) {
                continue;
            }
            quorumDelays.add(quorumAtNanos[cache] - plan.outageStartNanos());
            for (Node node : nodes) {
                long ejectedAt = node.firstEjectedAtNanos[cache];
                if (ejectedAt == 0) {
                    neverEjected++;
                } else {
                    ejectionAfterQuorum.add(Math.max(0, ejectedAt - quorumAtNanos[cache]));
                    ejectionAfterFailure.add(ejectedAt - plan.outageStartNanos());
                    lateEjections += ejectedAt - quorumAtNanos[cache] > NANOS_PER_SECOND ? 1 : 0;
                }
            }
        }
        Map<String, Object> summary = new LinkedHashMap<>();
        summary.put("balancers", plan.balancers);
        summary.put("caches", plan.caches);
        summary.put("loss", plan.lossFraction);
        summary.put("reads", plan.readsPerSecond);
        summary.put("dead", plan.failedCacheCount());
        SimGossip.putPercentiles(summary, "third", quorumDelays);
        SimGossip.putPercentiles(summary, "loweredBehindThird", ejectionAfterQuorum);
        SimGossip.putPercentiles(summary, "loweredBehindDeath", ejectionAfterFailure);
        summary.put("loweredLaterThanASecond", lateEjections);
        summary.put("neverLowered", neverEjected);
        double healthyCacheNanos =
                (double) nodes.length * (plan.caches - plan.failedCacheCount()) * plan.endNanos();
        summary.put(
                "healthyLost",
                (1 - 1.0 / EJECTED_READ_INTERVAL) * falseEjectionNanos / healthyCacheNanos);
        summary.put(
                "readsAtTheDead",
                attemptsDuringOutage == 0
                        ? null
                        : attemptsAtFailedCaches / (double) attemptsDuringOutage);
        summary.put("countErrorP50", percentile(rateErrors, 0.5));
        summary.put("countErrorP99", percentile(rateErrors, 0.99));
        summary.put("countCoverP50", percentile(coverages, 0.5));
        summary.put("countsOutsideTheirBounds", boundViolations);
        SimGossip.putPercentiles(summary, "countAge", oldestReportAges);
        summary.put("loweredBy", ejectedPercentBySecond);
        summary.put("errorBy", rateErrorPercentBySecond);
        summary.put("bytesASecondEach", outageBytes / (double) plan.outageSeconds / nodes.length);
        summary.put("mostBytesInASecond", network.maxBytesInSecond);
        return summary;
    }

    private final class Node extends SimNetwork.Station implements HealthReportAggregator.Actions {
        private final GossipNode peers;
        private final HealthReportAggregator healthReports;
        private final ClusterCounters clusterCounters;
        private final long[] firstEjectedAtNanos = new long[plan.caches];
        private final long[] ejectedSinceNanos = new long[plan.caches];
        private Set<Long> ejectedCaches = Set.of();
        private long reportTimerAtNanos = Long.MAX_VALUE;

        Node(int index, long now) {
            network.super(index);
            long incarnation =
                    Incarnation.fromUnixMillis(WALL_CLOCK_START_MILLIS + now / NANOS_PER_MILLI);
            healthReports =
                    new HealthReportAggregator(
                            HealthReportSettings.STANDARD,
                            index,
                            plan.balancers,
                            incarnation,
                            (atNanos, rank) ->
                                    peers().snapshot(atNanos, rank).state() == MemberState.ALIVE,
                            this);
            peers =
                    new GossipNode(
                            GossipSettings.STANDARD,
                            index,
                            plan.balancers,
                            now,
                            incarnation,
                            plan.seed * 31 + index,
                            new AppliedVersions(1, 0, 7, 1, 1, 0, 0),
                            0,
                            this,
                            this);
            clusterCounters =
                    new ClusterCounters(
                            ClusterCounterSettings.STANDARD,
                            index,
                            plan.balancers,
                            now,
                            incarnation,
                            rank ->
                                    peers.snapshot(timeline.now(), rank).state()
                                            == MemberState.ALIVE,
                            this::sendSection);
            peers.setPayloadProvider(
                    (atNanos, destination, payload) -> {
                        healthReports.writeSections(atNanos, destination, payload);
                        clusterCounters.writeSections(atNanos, destination, payload);
                    });
        }

        void start(long now) {
            Map<Long, Long> listed = new LinkedHashMap<>();
            for (long cache = 0; cache < plan.caches; cache++) {
                listed.put(cache, 1L);
            }
            healthReports.onEndpointList(now, listed);
            join(now);
            scheduleReportTimer(now);
            scheduleNextRead(now);
            tick(now);
        }

        private void tick(long now) {
            clusterCounters.tick(now);
            schedule(now);
            timeline.schedule(now + NANOS_PER_SECOND, this::tick);
        }

        private void scheduleNextRead(long now) {
            double gapSeconds = -Math.log(1 - readRandom.nextDouble()) / plan.readsPerSecond;
            timeline.schedule(now + (long) (gapSeconds * NANOS_PER_SECOND), this::read);
        }

        private void read(long now) {
            scheduleNextRead(now);
            clusterCounters.increment(ClusterCounter.FIRST_TRIES);
            totalRequests++;
            int cache = readRandom.nextInt(plan.caches);
            if (ejectedCaches.contains((long) cache)
                    && readRandom.nextInt(EJECTED_READ_INTERVAL) > 0) {
                return;
            }
            boolean isDuringOutage = now >= plan.outageStartNanos() && now < plan.outageEndNanos();
            attemptsDuringOutage += isDuringOutage ? 1 : 0;
            attemptsAtFailedCaches += isDuringOutage && isFailed(cache, now) ? 1 : 0;
            boolean isUnresponsive =
                    isFailed(cache, now) || readRandom.nextDouble() < plan.randomFailureFraction;
            timeline.schedule(
                    now + (isUnresponsive ? NO_RESPONSE_NANOS : RESPONSE_NANOS),
                    then -> {
                        healthReports.onAttemptObserved(
                                then,
                                cache,
                                isUnresponsive
                                        ? AttemptObservation.SILENT
                                        : AttemptObservation.ANSWERED,
                                now);
                        schedule(then);
                        scheduleReportTimer(then);
                    });
        }

        private void scheduleReportTimer(long now) {
            long next = Math.max(now, healthReports.nextWakeupNanos());
            if (next < reportTimerAtNanos) {
                reportTimerAtNanos = next;
                timeline.schedule(
                        next,
                        then -> {
                            reportTimerAtNanos = Long.MAX_VALUE;
                            healthReports.onTimer(then);
                            schedule(then);
                            scheduleReportTimer(then);
                        });
            }
        }

        @Override
        GossipNode peers() {
            return peers;
        }

        @Override
        public void setOutliers(Set<Long> caches) {
            long now = timeline.now();
            for (int cache = 0; cache < plan.caches; cache++) {
                boolean isEjected = caches.contains((long) cache);
                if (isEjected && ejectedSinceNanos[cache] == 0) {
                    ejectedSinceNanos[cache] = now;
                    if (isFailed(cache, now) && firstEjectedAtNanos[cache] == 0) {
                        firstEjectedAtNanos[cache] = now;
                    }
                } else if (!isEjected && ejectedSinceNanos[cache] > 0) {
                    falseEjectionNanos +=
                            cache < plan.failedCacheCount() ? 0 : now - ejectedSinceNanos[cache];
                    ejectedSinceNanos[cache] = 0;
                }
            }
            ejectedCaches = caches;
        }

        @Override
        public void onReportsPending() {
            peers.announcePayloadChange(timeline.now());
        }

        @Override
        public boolean sendSection(int destination, int type, ByteBuffer section) {
            return peers.send(timeline.now(), destination, type, section);
        }

        @Override
        public void onLocallyUnhealthy(long cache) {
            long now = timeline.now();
            if (isFailed((int) cache, now)) {
                List<Long> detectionTimes = detectionTimesNanos.get((int) cache);
                detectionTimes.add(now);
                quorumAtNanos[(int) cache] =
                        detectionTimes.size() == HealthReportSettings.STANDARD.requiredReporters()
                                ? now
                                : quorumAtNanos[(int) cache];
            }
        }

        @Override
        public void onPayload(
                long now,
                long queueingDelayNanos,
                int sender,
                long incarnation,
                int type,
                ByteBuffer content) {
            clusterCounters.onSection(
                    now, queueingDelayNanos, sender, incarnation, type, content.duplicate());
            healthReports.onSection(now, queueingDelayNanos, sender, incarnation, type, content);
            scheduleReportTimer(now);
        }
    }
}
