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
 * Where a test build steps between the balancer and what it writes and reads: the project's own
 * checkers are proved by defects put in here. {@code recorder}: wraps what takes the audit's
 * entries; {@code stalenessActions}: what carries out what lagging behind leads to; {@code
 * healthReportActions}: likewise what judgements on caches lead to; {@code counterTotals}: where
 * sums over the tier are read; {@code wallClock}: the wall clock, Unix milliseconds; {@code
 * buildNumber}: the build's number, 0 to take it from the program's own bytes; {@code
 * datagramFormat}: of the datagrams that it writes to its peers.
 */
public record TestHooks(
        UnaryOperator<Recorder> recorder,
        UnaryOperator<StalenessDetector.Actions> stalenessActions,
        UnaryOperator<HealthReportAggregator.Actions> healthReportActions,
        UnaryOperator<CounterTotals> counterTotals,
        LongSupplier wallClock,
        int buildNumber,
        int datagramFormat) {
    /** Where sums over the tier are read. */
    public interface CounterTotals {
        CounterTotal total(long now, ClusterCounter counter);
    }

    /** What is run: nothing in between. */
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
