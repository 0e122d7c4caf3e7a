package frostrelay.healthreports;

import frostrelay.gossip.Incarnation;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Three balancers of a cluster, the datagrams between them and the true observations of each: the
 * state of {@link HealthReportExplorationTest}, built from scratch for each sequence of steps.
 */
final class ExploredCluster {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int ACTORS = 3;
    static final int SMALL = 6;

    /** Large enough for reports to be relayed. */
    static final int LARGE = 20;

    private static final int FAULTY_PEER = 3;
    private static final int CACHES = 3;

    /** Faults seeded to check that the exploration finds them. */
    enum SeededDefect {
        NONE,
        COUNTS_SENDER_AS_ANOTHER_REPORTER,
        MISSES_CACHE_RESTARTS,
        TREATS_RELAYED_AS_DIRECT
    }

    enum ActionKind {
        ATTEMPT_FAILED,
        ATTEMPT_ANSWERED,
        SEND,
        DELIVER,
        DELIVER_DUPLICATE,
        DROP,
        RESTART_BALANCER,
        RESTART_CACHE,
        WAIT,
        SEND_FALSE_REPORTS
    }

    record Step(ActionKind kind, int balancer, int other) {}

    /** One datagram's section on its way. */
    private record Message(int from, int to, long incarnation, byte[] bytes) {}

    final SeededDefect defect;
    final int clusterSize;

    /**
     * Whether the faulty peer has sent reports: it then counts as one balancer that saw a failure.
     */
    boolean falseReportsSent;

    final HealthReportAggregator[] nodes = new HealthReportAggregator[ACTORS];
    final long[] incarnations = new long[ACTORS];
    final List<Set<Long>> outliers = new ArrayList<>();
    final List<Message> inTransit = new ArrayList<>();
    final long[] serverStarts = new long[CACHES + 1];

    /**
     * Time of the last failed attempt of a balancer at a cache since the cache's latest start, by
     * balancer and cache.
     */
    final long[][] lastFailureNanos = new long[ACTORS][CACHES + 1];

    /** Failed attempts in a row, by balancer and cache. */
    final int[][] consecutiveFailures = new int[ACTORS][CACHES + 1];

    long now = 100 * NANOS_PER_SECOND;
    long restarts;

    ExploredCluster(SeededDefect defect, int clusterSize) {
        this.defect = defect;
        this.clusterSize = clusterSize;
        for (int i = 0; i < ACTORS; i++) {
            Arrays.fill(lastFailureNanos[i], Long.MIN_VALUE / 2);
            outliers.add(Set.of());
            restart(i);
        }
    }

    void restart(int i) {
        incarnations[i] = Incarnation.fromUnixMillis(1_790_000_000_000L + ++restarts * 1_000);
        outliers.set(i, Set.of());
        nodes[i] =
                new HealthReportAggregator(
                        HealthReportSettings.STANDARD,
                        i,
                        clusterSize,
                        incarnations[i],
                        (moment, rank) -> true,
                        new HealthReportAggregator.Actions() {
                            @Override
                            public void setOutliers(Set<Long> caches) {
                                outliers.set(i, caches);
                            }

                            @Override
                            public boolean sendSection(int to, int type, ByteBuffer section) {
                                return true;
                            }

                            @Override
                            public void onReportsPending() {
                                // Reports are sent in steps of their own.
                            }

                            @Override
                            public void onLocallyUnhealthy(long cache) {
                                // Not part of this exploration.
                            }
                        });
        sendEndpointList(i);
    }

    void sendEndpointList(int i) {
        Map<Long, Long> caches = new HashMap<>();
        for (long cache = 1; cache <= CACHES; cache++) {
            caches.put(cache, serverStarts[(int) cache]);
        }
        nodes[i].onEndpointList(now, caches);
    }

    void apply(Step step) {
        now += NANOS_PER_SECOND / 10;
        int b = step.balancer;
        switch (step.kind) {
            case ATTEMPT_FAILED -> {
                lastFailureNanos[b][step.other] = now;
                consecutiveFailures[b][step.other]++;
                nodes[b].onAttemptObserved(now, step.other, AttemptObservation.SILENT, now);
            }
            case ATTEMPT_ANSWERED -> {
                consecutiveFailures[b][step.other] = 0;
                nodes[b].onAttemptObserved(now, step.other, AttemptObservation.ANSWERED, now);
            }
            case SEND -> {
                byte[] sections = LoadedSections.sectionsFor(nodes[b], now, step.other);
                if (sections.length > 0) {
                    inTransit.add(new Message(b, step.other, incarnations[b], sections));
                }
            }
            case DELIVER -> deliver(inTransit.remove(step.other));
            case DELIVER_DUPLICATE -> deliver(inTransit.get(step.other));
            case SEND_FALSE_REPORTS -> sendFalseReports(b);
            case DROP -> inTransit.remove(step.other);
            case RESTART_BALANCER -> {
                Arrays.fill(consecutiveFailures[b], 0);
                restart(b);
            }
            case RESTART_CACHE -> {
                serverStarts[step.other]++;
                for (int i = 0; i < ACTORS; i++) {
                    lastFailureNanos[i][step.other] = Long.MIN_VALUE / 2;
                    consecutiveFailures[i][step.other] = 0;
                    if (defect != SeededDefect.MISSES_CACHE_RESTARTS || i != 2) {
                        sendEndpointList(i);
                    }
                }
            }
            default -> {
                now += 4 * NANOS_PER_SECOND;
                for (HealthReportAggregator node : nodes) {
                    node.onTimer(now);
                }
            }
        }
    }

    /**
     * Delivers reports of the faulty peer on cache 1: a direct one, and relayed ones that it
     * attributes to three other balancers.
     */
    private void sendFalseReports(int to) {
        falseReportsSent = true;
        long incarnation = Incarnation.fromUnixMillis(1_790_000_000_000L);
        ByteBuffer out =
                ByteBuffer.allocate(4 + HealthReport.BYTES + 3 * HealthReport.RELAYED_BYTES);
        out.put((byte) 32).put((byte) HealthReport.BYTES);
        new HealthReport(FAULTY_PEER, incarnation, 1, (int) serverStarts[1], 0, 9, 8)
                .write(out, 1, 0, false);
        out.put((byte) 33).put((byte) (3 * HealthReport.RELAYED_BYTES));
        for (int other = 0; other < ACTORS; other++) {
            new HealthReport(
                            FAULTY_PEER + 1 + other, incarnation, 1, (int) serverStarts[1], 0, 9, 8)
                    .write(out, 1, 0, true);
        }
        deliver(new Message(FAULTY_PEER, to, incarnation, out.array()));
    }

    private void deliver(Message message) {
        HealthReportAggregator to = nodes[message.to];
        LoadedSections.sections(
                message.bytes,
                (type, content) -> {
                    if (defect == SeededDefect.TREATS_RELAYED_AS_DIRECT && type == 33) {
                        while (content.remaining() >= HealthReport.RELAYED_BYTES) {
                            HealthReport one =
                                    HealthReport.read(content.slice(), 0, 0, true).report();
                            content.position(content.position() + 8);
                            to.onSection(
                                    now,
                                    0,
                                    one.rank(),
                                    one.incarnation(),
                                    32,
                                    content.slice(content.position(), HealthReport.BYTES));
                            content.position(content.position() + HealthReport.BYTES);
                        }
                        return;
                    }
                    to.onSection(
                            now, 0, message.from, message.incarnation, type, content.duplicate());
                    if (defect == SeededDefect.COUNTS_SENDER_AS_ANOTHER_REPORTER && type == 32) {
                        to.onSection(now, 0, 4, message.incarnation, type, content);
                    }
                });
    }

    List<Step> nextSteps() {
        List<Step> steps = new ArrayList<>();
        for (int b = 0; b < ACTORS; b++) {
            steps.add(new Step(ActionKind.ATTEMPT_FAILED, b, 1));
            steps.add(new Step(ActionKind.ATTEMPT_ANSWERED, b, 1));
            for (int to = 0; to < ACTORS; to++) {
                if (to != b) {
                    steps.add(new Step(ActionKind.SEND, b, to));
                }
            }
        }
        steps.add(new Step(ActionKind.ATTEMPT_FAILED, 0, 2));
        steps.add(new Step(ActionKind.RESTART_BALANCER, 1, 0));
        steps.add(new Step(ActionKind.RESTART_CACHE, 0, 1));
        steps.add(new Step(ActionKind.WAIT, 0, 0));
        if (clusterSize == LARGE) {
            steps.add(new Step(ActionKind.SEND_FALSE_REPORTS, 0, 0));
            steps.add(new Step(ActionKind.SEND_FALSE_REPORTS, 2, 0));
        }
        for (int i = 0; i < inTransit.size(); i++) {
            steps.add(new Step(ActionKind.DELIVER, 0, i));
            steps.add(new Step(ActionKind.DELIVER_DUPLICATE, 0, i));
            steps.add(new Step(ActionKind.DROP, 0, i));
        }
        return steps;
    }

    /** Returns a description of the first violated invariant, or null. */
    String violation() {
        for (int b = 0; b < ACTORS; b++) {
            if (outliers.get(b).size() > 1) {
                return "more than a third of the caches ejected at balancer " + b;
            }
            for (long cache : outliers.get(b)) {
                int observers = 0;
                for (int i = 0; i < ACTORS; i++) {
                    observers +=
                            now - lastFailureNanos[i][(int) cache] < 12 * NANOS_PER_SECOND
                                            && (i != b || consecutiveFailures[b][(int) cache] >= 1)
                                    ? 1
                                    : 0;
                }
                observers += falseReportsSent ? 1 : 0;
                if (observers < HealthReportSettings.STANDARD.requiredReporters()) {
                    return "cache "
                            + cache
                            + " is ejected at balancer "
                            + b
                            + ", and "
                            + observers
                            + " balancers saw it fail since its latest start";
                }
            }
        }
        return null;
    }

    String fingerprint() {
        StringBuilder print = new StringBuilder();
        for (int b = 0; b < ACTORS; b++) {
            print.append(outliers.get(b)).append(Arrays.toString(consecutiveFailures[b]));
            for (long cache = 1; cache <= CACHES; cache++) {
                Map<Integer, String> reports = new TreeMap<>();
                nodes[b].reportAges(now, cache)
                        .forEach(
                                (one, age) ->
                                        reports.put(
                                                one.rank(),
                                                one.sequenceNumber()
                                                        + ","
                                                        + one.isUnhealthy()
                                                        + ","
                                                        + age / NANOS_PER_SECOND
                                                        + ","
                                                        + one.serverStart()));
                print.append(reports)
                        .append(serverStarts[(int) cache])
                        .append((now - lastFailureNanos[b][(int) cache]) / NANOS_PER_SECOND / 4);
            }
        }
        inTransit.stream()
                .map(one -> one.from + ">" + one.to + Arrays.hashCode(one.bytes))
                .sorted()
                .forEach(print::append);
        return print.toString();
    }
}
