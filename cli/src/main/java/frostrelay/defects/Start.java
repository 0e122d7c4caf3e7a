package frostrelay.defects;

import frostrelay.audit.Recorder;
import frostrelay.gossip.GossipSettings;
import frostrelay.healthreports.HealthReportAggregator;
import frostrelay.node.NodeProcess;
import frostrelay.node.Options;
import frostrelay.node.cluster.TestHooks;
import frostrelay.staleness.StalenessDetector;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

/**
 * Starts the balancer as its own main class does, for campaigns: with a wall clock that a file
 * moves and, where that is asked for, a seeded defect. {@code run} never comes here.
 */
public final class Start {
    private static final String PROPERTY_PREFIX = "frostrelay.campaign.";

    private Start() {}

    /** Takes no arguments; the JVM's properties say the rest. */
    public static void main(String[] args) {
        String defect = System.getProperty(PROPERTY_PREFIX + "defect");
        UnaryOperator<Recorder> recorder =
                inner -> defect == null ? inner : SeededDefect.of(defect).wrap(inner);
        UnaryOperator<StalenessDetector.Actions> actions =
                inner -> defect == null ? inner : SeededDefect.of(defect).wrap(inner);
        UnaryOperator<HealthReportAggregator.Actions> healthReports =
                inner -> defect == null ? inner : SeededDefect.of(defect).wrap(inner);
        UnaryOperator<TestHooks.CounterTotals> totals =
                inner -> defect == null ? inner : SeededDefect.of(defect).wrap(inner);
        NodeProcess.start(
                System.getenv("GW_CONFIG"),
                Options::fromSystemProperties,
                new TestHooks(
                        recorder,
                        actions,
                        healthReports,
                        totals,
                        wallClock(),
                        Integer.getInteger(PROPERTY_PREFIX + "build", 0),
                        Integer.getInteger(
                                PROPERTY_PREFIX + "form", GossipSettings.STANDARD.wireVersion())));
    }

    /** Unix milliseconds, off by what a file says at the moment. */
    private static LongSupplier wallClock() {
        String offsetFile = System.getProperty(PROPERTY_PREFIX + "wall");
        if (offsetFile == null) {
            return System::currentTimeMillis;
        }
        return () -> {
            try {
                return System.currentTimeMillis()
                        + Long.parseLong(Files.readString(Path.of(offsetFile)).strip());
            } catch (IOException | NumberFormatException e) {
                return System.currentTimeMillis();
            }
        };
    }
}
