package frostrelay.testbed.soak;

import frostrelay.testbed.client.ClientStatistics;
import frostrelay.testbed.fleet.BalancerCommand;
import frostrelay.testbed.fleet.ScenarioResult;
import frostrelay.testbed.fleet.ScenarioRun;
import frostrelay.testbed.fleet.TestCluster;
import frostrelay.testbed.invariants.Invariant;
import frostrelay.testbed.scenario.Scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Runs a random scenario on real processes and checks it against the invariants. */
public final class SoakRun {
    /** Log events of a balancer that no external fault may cause. */
    private static final List<String> BAD_EVENTS =
            List.of(
                    "\"event\":\"invariant-violation\"",
                    "\"event\":\"unexpected-exception\"",
                    "\"event\":\"cannot-start\"",
                    "\"event\":\"shutdown-failed\"");

    /** Invariant violations in the log that depend on timing. */
    private static final List<String> TIMING_LINES =
            List.of(
                    "\"invariant\":\"UNANSWERED\"",
                    "\"invariant\":\"DEADLINE_OVERSTATED\"",
                    "\"invariant\":\"WRITTEN_AGAINST_GUARD\"");

    /** Invariants that depend on timing. */
    private static final Set<Invariant> TIMING_INVARIANTS =
            EnumSet.of(
                    Invariant.NO_ANSWER,
                    Invariant.BEGUN_AFTER_CLIENT_LEFT,
                    Invariant.WAIT_OVERSTATED,
                    Invariant.DRAIN_IGNORED);

    private static final int MAX_LINES_PER_BALANCER = 5;

    /** Stalls of at least this duration show that the machine itself was stalled. */
    private static final long STALLED_MILLIS = 100;

    private static final double STOLEN_FRACTION_LIMIT = 0.05;

    /** The conclusion about the program from a run. */
    public enum Verdict {
        /** No violation was found. */
        KEPT,
        /**
         * Only timing violations were found, and the machine itself was stalled, so the run is
         * inconclusive.
         */
        UNDECIDED,
        /** A violation was found that a stalled machine does not explain. */
        BROKEN
    }

    /**
     * A violation.
     *
     * @param isTiming whether it depends on timing only, so that a stalled machine can cause it as
     *     well
     */
    public record Finding(String detail, boolean isTiming) {}

    /**
     * The result of a run.
     *
     * @param stallMillis longest stall of the testbed's own event loops in milliseconds
     * @param stolenFraction steal time as a fraction of the requested CPU time
     */
    public record Outcome(
            Scenario scenario,
            ScenarioResult result,
            long stallMillis,
            double stolenFraction,
            List<Finding> findings) {
        /** Returns the conclusion from the findings and the stalls of the machine. */
        public Verdict verdict() {
            if (findings.isEmpty()) {
                return Verdict.KEPT;
            }
            boolean wasStalled =
                    stallMillis >= STALLED_MILLIS || stolenFraction >= STOLEN_FRACTION_LIMIT;
            return wasStalled && findings.stream().allMatch(Finding::isTiming)
                    ? Verdict.UNDECIDED
                    : Verdict.BROKEN;
        }
    }

    private SoakRun() {}

    /**
     * Runs a scenario. {@code directory}: for the balancers' files; {@code lines}: receives
     * progress messages.
     */
    public static Outcome run(
            Scenario scenario, Path directory, BalancerCommand program, Consumer<String> lines)
            throws IOException, InterruptedException {
        List<Finding> findings = new ArrayList<>();
        MachineLoad load = MachineLoad.start();
        ScenarioResult result;
        long stallMillis;
        try (TestCluster fleet = new TestCluster(scenario, directory, program)) {
            fleet.startBalancers();
            result = ScenarioRun.run(fleet, lines);
            stallMillis = fleet.longestStallMillis();
            for (TestCluster.BalancerInstance place : fleet.balancers()) {
                if (!place.process().isAlive()) {
                    findings.add(
                            new Finding(
                                    "CRASH: " + place.name() + " does not run at the end", false));
                }
                findings.addAll(badLines(place));
            }
        }
        result.invariantChecker()
                .violations()
                .forEach(
                        breach ->
                                findings.add(
                                        new Finding(
                                                breach.invariant() + ": " + breach.detail(),
                                                TIMING_INVARIANTS.contains(breach.invariant()))));
        long lost = result.statistics().count(ClientStatistics.Outcome.LOST);
        if (lost > 0) {
            findings.add(
                    new Finding("LOST: " + lost + " first tries ended without an answer", true));
        }
        if (result.statistics().wrongResponses() > 0) {
            findings.add(
                    new Finding(
                            "WRONG: "
                                    + result.statistics().wrongResponses()
                                    + " responses did not match their request",
                            false));
        }
        return new Outcome(scenario, result, stallMillis, load.stolenFraction(), findings);
    }

    private static List<Finding> badLines(TestCluster.BalancerInstance place) throws IOException {
        try (Stream<String> log = Files.lines(place.process().logFile())) {
            return log.filter(line -> BAD_EVENTS.stream().anyMatch(line::contains))
                    .limit(MAX_LINES_PER_BALANCER)
                    .map(
                            line ->
                                    new Finding(
                                            "LOG: " + place.name() + ": " + line,
                                            TIMING_LINES.stream().anyMatch(line::contains)))
                    .toList();
        }
    }
}
