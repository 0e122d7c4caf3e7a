package frostrelay.node.cluster;

import frostrelay.counters.ClusterCounter;
import frostrelay.counters.ClusterCounterSettings;
import frostrelay.counters.ClusterCounters;
import frostrelay.counters.CounterTotal;
import frostrelay.gossip.MemberState;
import frostrelay.gossip.PayloadProvider;
import frostrelay.node.proxy.ClientRequest;
import frostrelay.node.proxy.DecisionObserver;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.ResponseSource;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/** Counts this balancer's decisions in {@link ClusterCounters}, and reports cluster totals. */
final class ClusterCounterService implements DecisionObserver {
    private final ClusterCounters counters;
    private final TestHooks.CounterTotals totals;

    ClusterCounterService(
            GossipTransport transport,
            int rank,
            int clusterSize,
            long incarnation,
            UnaryOperator<TestHooks.CounterTotals> testHook) {
        counters =
                new ClusterCounters(
                        ClusterCounterSettings.STANDARD,
                        rank,
                        clusterSize,
                        Clock.now(),
                        incarnation,
                        peerRank ->
                                transport.node() != null
                                        && transport.node().snapshot(Clock.now(), peerRank).state()
                                                == MemberState.ALIVE,
                        transport::sendSection);
        totals = testHook.apply(counters::total);
    }

    PayloadProvider payloadProvider() {
        return counters;
    }

    @Override
    public void onRequestAccepted(boolean clientRetry) {
        counters.increment(clientRetry ? ClusterCounter.REPEATS : ClusterCounter.FIRST_TRIES);
    }

    @Override
    public void onAttemptSent(
            int versionSequence, int cache, int attempt, boolean hedged, ClientRequest request) {
        counters.increment(ClusterCounter.SENDS);
        if (hedged) {
            counters.increment(ClusterCounter.COPIES);
        }
    }

    @Override
    public void onAttemptCompleted(AttemptResult result, ResponseSource source) {
        counters.increment(ClusterCounter.ENDS);
        if (source == ResponseSource.ORIGIN) {
            counters.increment(ClusterCounter.FETCHES);
        }
        if (result == AttemptResult.ERROR) {
            counters.increment(ClusterCounter.FAILED);
        }
    }

    @Override
    public void onRequestRejected() {
        counters.increment(ClusterCounter.REFUSED);
    }

    void onSection(
            long now,
            long delayNanos,
            int sender,
            long senderIncarnation,
            int type,
            ByteBuffer content) {
        counters.onSection(now, delayNanos, sender, senderIncarnation, type, content);
    }

    void tick(long now) {
        counters.tick(now);
    }

    /** Adds each total with its coverage, and each peer's latest counters, to the status. */
    void describe(Map<String, Object> target) {
        long now = Clock.now();
        Map<String, Object> totalsByCounter = new LinkedHashMap<>();
        for (ClusterCounter counter : ClusterCounter.values()) {
            CounterTotal total = totals.total(now, counter);
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("known", total.known());
            fields.put(
                    "most",
                    Double.isInfinite(total.upperBound())
                            ? "unknown"
                            : (Object) Math.round(total.upperBound()));
            fields.put("rate", Math.round(total.ratePerSecond() * 10) / 10.0);
            fields.put("covered", total.coveredMembers());
            fields.put("of", total.aliveMembers());
            fields.put("oldestMs", total.oldestAgeNanos() / Clock.NANOS_PER_MILLISECOND);
            totalsByCounter.put(counter.label(), fields);
        }
        target.put("counts", totalsByCounter);
        List<Object> peers = new ArrayList<>();
        for (ClusterCounters.PeerCounters row : counters.peerCounters(now)) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("by", row.rank());
            fields.put("lifeMs", row.startedAtUnixMillis());
            fields.put("ageMs", row.ageNanos() / Clock.NANOS_PER_MILLISECOND);
            for (ClusterCounter counter : ClusterCounter.values()) {
                fields.put(counter.label(), row.values()[counter.ordinal()]);
            }
            peers.add(fields);
        }
        target.put("countsOf", peers);
    }
}
