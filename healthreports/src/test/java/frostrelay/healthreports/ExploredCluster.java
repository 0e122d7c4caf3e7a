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
 * Three balancers of a cluster, the datagrams between them, and what each truly observed; state of
 * {@link HealthReportExplorationTest}, created anew for each sequence of steps.
 */
final class ExploredCluster {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int ACTORS = 3;
    static final int SMALL = 6;

    /** Large enough for reports to be relayed. */
    static final int LARGE = 20;

    private static final int LIAR = 3;
    private static final int CACHES = 3;

    /** Faults put in on purpose, to see that the exploration finds them. */
    enum SeededDefect {
        NONE,
        COUNTS_THE_BRINGER,
        KEEPS_OLD_STARTS,
        BELIEVES_THE_BRINGER
    }

    enum ActionKind {
        BAD,
        GOOD,
        TELL,
        DELIVER,
        DOUBLE,
        LOSE,
        ANEW,
        BOOT,
        WAIT,
        LIE
    }

    record Step(ActionKind kind, int balancer, int other) {}

    /** One datagram's section on its way. */
    private record Message(int from, int to, long incarnation, byte[] bytes) {}

    final SeededDefect defect;
    final int clusterSize;

    /** Whether the liar has spoken to anybody: it may pass for one that saw the cache bad. */
    boolean lied;

    final HealthReportAggregator[] nodes = new HealthReportAggregator[ACTORS];
    final long[] incarnations = new long[ACTORS];
    final List<Set<Long>> outliers = new ArrayList<>();
    final List<Message> inTransit = new ArrayList<>();
    final long[] serverStarts = new long[CACHES + 1];

    /**
     * When a balancer last truly saw a cache bad in its present start, by balancer and cache; and
     * how often in a row.
     */
    final long[][] lastFailureNanos = new long[ACTORS][CACHES + 1];

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
                                // Telling is a step of its own.
                            }

                            @Override
                            public void onLocallyUnhealthy(long cache) {
                                // Nobody reads along.
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
            case BAD -> {
                lastFailureNanos[b][step.other] = now;
                consecutiveFailures[b][step.other]++;
                nodes[b].onAttemptObserved(now, step.other, AttemptObservation.SILENT, now);
            }
            case GOOD -> {
                consecutiveFailures[b][step.other] = 0;
                nodes[b].onAttemptObserved(now, step.other, AttemptObservation.ANSWERED, now);
            }
            case TELL -> {
                byte[] sections = LoadedSections.loadedFor(nodes[b], now, step.other);
                if (sections.length > 0) {
                    inTransit.add(new Message(b, step.other, incarnations[b], sections));
                }
            }
            case DELIVER -> deliver(inTransit.remove(step.other));
            case DOUBLE -> deliver(inTransit.get(step.other));
            case LIE -> sendFalseReports(b);
            case LOSE -> inTransit.remove(step.other);
            case ANEW -> {
                Arrays.fill(consecutiveFailures[b], 0);
                restart(b);
            }
            case BOOT -> {
                serverStarts[step.other]++;
                for (int i = 0; i < ACTORS; i++) {
                    lastFailureNanos[i][step.other] = Long.MIN_VALUE / 2;
                    consecutiveFailures[i][step.other] = 0;
                    if (defect != SeededDefect.KEEPS_OLD_STARTS || i != 2) {
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

    /** The liar reports cache 1 in its own name and relays reports in those of three others. */
    private void sendFalseReports(int to) {
        lied = true;
        long incarnation = Incarnation.fromUnixMillis(1_790_000_000_000L);
        ByteBuffer out =
                ByteBuffer.allocate(4 + HealthReport.BYTES + 3 * HealthReport.RELAYED_BYTES);
        out.put((byte) 32).put((byte) HealthReport.BYTES);
        new HealthReport(LIAR, incarnation, 1, (int) serverStarts[1], 0, 9, 8)
                .write(out, 1, 0, false);
        out.put((byte) 33).put((byte) (3 * HealthReport.RELAYED_BYTES));
        for (int other = 0; other < ACTORS; other++) {
            new HealthReport(LIAR + 1 + other, incarnation, 1, (int) serverStarts[1], 0, 9, 8)
                    .write(out, 1, 0, true);
        }
        deliver(new Message(LIAR, to, incarnation, out.array()));
    }

    private void deliver(Message message) {
        HealthReportAggregator to = nodes[message.to];
        LoadedSections.sections(
                message.bytes,
                (type, content) -> {
                    if (defect == SeededDefect.BELIEVES_THE_BRINGER && type == 33) {
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
                    if (defect == SeededDefect.COUNTS_THE_BRINGER && type == 32) {
                        to.onSection(now, 0, 4, message.incarnation, type, content);
                    }
                });
    }

    List<Step> nextSteps() {
        List<Step> steps = new ArrayList<>();
        for (int b = 0; b < ACTORS; b++) {
            steps.add(new Step(ActionKind.BAD, b, 1));
            steps.add(new Step(ActionKind.GOOD, b, 1));
            for (int to = 0; to < ACTORS; to++) {
                if (to != b) {
                    steps.add(new Step(ActionKind.TELL, b, to));
                }
            }
        }
        steps.add(new Step(ActionKind.BAD, 0, 2));
        steps.add(new Step(ActionKind.ANEW, 1, 0));
        steps.add(new Step(ActionKind.BOOT, 0, 1));
        steps.add(new Step(ActionKind.WAIT, 0, 0));
        if (clusterSize == LARGE) {
            steps.add(new Step(ActionKind.LIE, 0, 0));
            steps.add(new Step(ActionKind.LIE, 2, 0));
        }
        for (int i = 0; i < inTransit.size(); i++) {
            steps.add(new Step(ActionKind.DELIVER, 0, i));
            steps.add(new Step(ActionKind.DOUBLE, 0, i));
            steps.add(new Step(ActionKind.LOSE, 0, i));
        }
        return steps;
    }

    /** The invariant that does not hold, or null. */
    String violation() {
        for (int b = 0; b < ACTORS; b++) {
            if (outliers.get(b).size() > 1) {
                return "more than a third of the caches lowered at " + b;
            }
            for (long cache : outliers.get(b)) {
                int saw = 0;
                for (int i = 0; i < ACTORS; i++) {
                    saw +=
                            now - lastFailureNanos[i][(int) cache] < 12 * NANOS_PER_SECOND
                                            && (i != b || consecutiveFailures[b][(int) cache] >= 1)
                                    ? 1
                                    : 0;
                }
                saw += lied ? 1 : 0;
                if (saw < HealthReportSettings.STANDARD.requiredReporters()) {
                    return "cache "
                            + cache
                            + " is lowered at "
                            + b
                            + ", and "
                            + saw
                            + " saw it bad in its present start";
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
                Map<Integer, String> said = new TreeMap<>();
                nodes[b].reportAges(now, cache)
                        .forEach(
                                (one, age) ->
                                        said.put(
                                                one.rank(),
                                                one.sequenceNumber()
                                                        + ","
                                                        + one.isUnhealthy()
                                                        + ","
                                                        + age / NANOS_PER_SECOND
                                                        + ","
                                                        + one.serverStart()));
                print.append(said)
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
