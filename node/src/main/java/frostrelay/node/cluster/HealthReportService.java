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
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * What this balancer and the others see of their caches: attempts go to {@link
 * HealthReportAggregator}, what comes of that to the module.
 */
final class HealthReportService implements HealthReportAggregator.Actions {
    private final EventLoop loop;
    private final ClusterMembership.Actions actions;
    private final GossipTransport transport;
    private final HealthReportAggregator aggregator;
    private final Counters counters;

    /** The names of caches, for operators, by their numbers. */
    private final Map<Long, String> cacheNames = new LinkedHashMap<>();

    private long wakeAtNanos = Long.MAX_VALUE;

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
        this.loop = loop;
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

    /** The caches that the list names as ready, with their starts, and their names. */
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
        long nextNanos = aggregator.nextWakeupNanos();
        if (nextNanos < wakeAtNanos) {
            wakeAtNanos = nextNanos;
            loop.schedule(
                    () -> {
                        wakeAtNanos = Long.MAX_VALUE;
                        aggregator.onTimer(Clock.now());
                        schedule();
                    },
                    Math.max(0, nextNanos - Clock.now()),
                    TimeUnit.NANOSECONDS);
        }
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

    /**
     * Each cache of which anybody says something: who, what, how old, and what is made of it here.
     */
    List<Object> describe() {
        long now = Clock.now();
        List<Object> caches = new ArrayList<>();
        for (long cache : aggregator.reportedCaches()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("cache", cacheNames.getOrDefault(cache, "unlisted"));
            fields.put("lowered", aggregator.outliers().contains(cache));
            List<Object> reports = new ArrayList<>();
            for (Map.Entry<HealthReport, Long> entry :
                    aggregator.reportAges(now, cache).entrySet()) {
                HealthReport report = entry.getKey();
                Map<String, Object> reportFields = new LinkedHashMap<>();
                reportFields.put("by", report.rank());
                reportFields.put("answered", report.successes());
                reportFields.put("not", report.failures());
                List<String> kinds = new ArrayList<>();
                for (AttemptObservation observation : AttemptObservation.values()) {
                    if ((report.observationBits() & observation.bit()) != 0) {
                        kinds.add(observation.name().toLowerCase(Locale.ROOT).replace('_', '-'));
                    }
                }
                reportFields.put("kinds", kinds);
                reportFields.put("ageMs", entry.getValue() / Clock.NANOS_PER_MILLISECOND);
                reports.add(reportFields);
            }
            fields.put("said", reports);
            caches.add(fields);
        }
        return caches;
    }
}
