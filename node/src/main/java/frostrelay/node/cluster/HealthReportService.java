package frostrelay.node.cluster;

import frostrelay.gossip.PayloadProvider;
import frostrelay.healthreports.AttemptObservation;
import frostrelay.healthreports.HealthReport;
import frostrelay.healthreports.HealthReportAggregator;
import frostrelay.healthreports.HealthReportSettings;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.metrics.Counters;
import frostrelay.node.time.Clock;

import io.netty.channel.EventLoop;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Connects {@link HealthReportAggregator} with attempts, gossip and the selection of caches. Runs
 * on the event loop.
 */
final class HealthReportService implements HealthReportAggregator.Actions {
    private final WakeupTimer timer;
    private final ClusterMembership.Actions actions;
    private final GossipTransport transport;
    private final HealthReportAggregator aggregator;
    private final Counters counters;

    /** Names of the ready caches by ID, for operators. */
    private final Map<Long, String> cacheNames = new LinkedHashMap<>();

    HealthReportService(
            EventLoop loop,
            ClusterMembership.Actions actions,
            Counters counters,
            GossipTransport transport,
            HealthReportAggregator.Trust trust,
            int rank,
            int clusterSize,
            long incarnation,
            UnaryOperator<HealthReportAggregator.Actions> testHook) {
        timer = new WakeupTimer(loop, this::onTimer);
        this.actions = actions;
        this.counters = counters;
        this.transport = transport;
        aggregator =
                new HealthReportAggregator(
                        HealthReportSettings.STANDARD,
                        rank,
                        clusterSize,
                        incarnation,
                        trust,
                        testHook.apply(this));
    }

    PayloadProvider payloadProvider() {
        return aggregator;
    }

    /** Applies a new endpoint list: start times in ms and names of its ready caches, by ID. */
    void onReadyCaches(Map<Long, Long> caches, Map<Long, String> names) {
        cacheNames.clear();
        cacheNames.putAll(names);
        aggregator.onEndpointList(Clock.now(), caches);
        schedule();
    }

    void onIncarnationChange(long incarnation) {
        aggregator.onIncarnationChange(incarnation);
    }

    void onAttemptObserved(long cache, AttemptObservation observation, long sentAtNanos) {
        aggregator.onAttemptObserved(Clock.now(), cache, observation, sentAtNanos);
        schedule();
    }

    void onSection(
            long now,
            long delayNanos,
            int sender,
            long senderIncarnation,
            int type,
            ByteBuffer content) {
        aggregator.onSection(now, delayNanos, sender, senderIncarnation, type, content);
        schedule();
    }

    void tick(long now, boolean isolated) {
        aggregator.onIsolation(now, isolated);
        schedule();
    }

    private void schedule() {
        timer.schedule(aggregator.nextWakeupNanos());
    }

    private void onTimer() {
        aggregator.onTimer(Clock.now());
        schedule();
    }

    @Override
    public void setOutliers(Set<Long> caches) {
        if (counters.mayLogPeerState()) {
            Log.write(
                    Event.OUTLIERS_DOWNWEIGHTED,
                    caches.stream()
                            .map(cache -> cacheNames.getOrDefault(cache, "unknown"))
                            .sorted()
                            .toList());
        }
        actions.setOutliers(caches);
    }

    @Override
    public void onLocallyUnhealthy(long cache) {
        if (counters.mayLogPeerState()) {
            Log.write(Event.OUTLIER_REPORTED, cacheNames.getOrDefault(cache, "unknown"));
        }
    }

    @Override
    public void onReportsPending() {
        transport.onPayloadChanged();
    }

    @Override
    public boolean sendSection(int to, int type, ByteBuffer section) {
        return transport.sendSection(to, type, section);
    }

    /** Describes each cache that peers report on: the reports, their ages, and its ejection. */
    List<Object> describe() {
        long now = Clock.now();
        List<Object> caches = new ArrayList<>();
        for (long cache : aggregator.reportedCaches()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("cache", cacheNames.getOrDefault(cache, "unlisted"));
            fields.put("lowered", aggregator.outliers().contains(cache));
            List<Object> reports = new ArrayList<>();
            aggregator
                    .reportAges(now, cache)
                    .forEach((report, ageNanos) -> reports.add(describe(report, ageNanos)));
            fields.put("said", reports);
            caches.add(fields);
        }
        return caches;
    }

    private static Map<String, Object> describe(HealthReport report, long ageNanos) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("by", report.rank());
        fields.put("answered", report.successes());
        fields.put("not", report.failures());
        List<String> kinds = new ArrayList<>();
        for (AttemptObservation observation : AttemptObservation.values()) {
            if ((report.observationBits() & observation.bit()) != 0) {
                kinds.add(observation.name().toLowerCase(Locale.ROOT).replace('_', '-'));
            }
        }
        fields.put("kinds", kinds);
        fields.put("ageMs", ageNanos / Clock.NANOS_PER_MILLISECOND);
        return fields;
    }
}
