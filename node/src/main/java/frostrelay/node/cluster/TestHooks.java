package frostrelay.node.cluster;

import frostrelay.audit.Recorder;
import frostrelay.counters.ClusterCounter;
import frostrelay.counters.CounterTotal;
import frostrelay.gossip.GossipSettings;
import frostrelay.healthreports.HealthReportAggregator;
import frostrelay.staleness.StalenessDetector;

import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

/**
 * Hooks with which tests inject defects into a balancer, to verify that the project's checkers
 * detect them.
 *
 * @param recorder wraps the storage of audit entries
 * @param stalenessActions wraps the effects of staleness detection
 * @param healthReportActions wraps the effects of health reports
 * @param counterTotals wraps the reading of cluster totals
 * @param wallClock returns Unix milliseconds
 * @param buildNumber identifies the build; 0 to compute it from the jar
 * @param datagramFormat wire version of the gossip datagrams that are written
 */
public record TestHooks(
        UnaryOperator<Recorder> recorder,
        UnaryOperator<StalenessDetector.Actions> stalenessActions,
        UnaryOperator<HealthReportAggregator.Actions> healthReportActions,
        UnaryOperator<CounterTotals> counterTotals,
        LongSupplier wallClock,
        int buildNumber,
        int datagramFormat) {
    /** Reads cluster totals. */
    public interface CounterTotals {
        /** Returns the total of a counter at this moment. */
        CounterTotal total(long now, ClusterCounter counter);
    }

    /** No hooks, as in production. */
    public static final TestHooks NONE =
            new TestHooks(
                    UnaryOperator.identity(),
                    UnaryOperator.identity(),
                    UnaryOperator.identity(),
                    UnaryOperator.identity(),
                    System::currentTimeMillis,
                    0,
                    GossipSettings.STANDARD.wireVersion());
}
