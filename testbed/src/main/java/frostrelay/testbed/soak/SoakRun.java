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

/** Plays a drawn day on real processes and holds it against what must never happen. */
public final class SoakRun {
    /** Events of a balancer's log that no fault from outside may cause. */
    private static final List<String> BAD_EVENTS =
            List.of(
                    "\"event\":\"invariant-violation\"",
                    "\"event\":\"unexpected-exception\"",
                    "\"event\":\"cannot-start\"",
                    "\"event\":\"shutdown-failed\"");

    /** Invariants in the log that are a matter of time. */
    private static final List<String> TIMING_LINES =
            List.of(
                    "\"invariant\":\"UNANSWERED\"",
                    "\"invariant\":\"DEADLINE_OVERSTATED\"",
                    "\"invariant\":\"WRITTEN_AGAINST_GUARD\"");

    /** Rules that are a matter of time. */
    private static final Set<Invariant> TIMING_INVARIANTS =
            EnumSet.of(
                    Invariant.NO_ANSWER,
                    Invariant.BEGUN_AFTER_CLIENT_LEFT,
                    Invariant.WAIT_OVERSTATED,
                    Invariant.DRAIN_IGNORED);

    private static final int MAX_LINES_PER_BALANCER = 5;

    /** From these on the machine was held up itself. */
    private static final long STALLED_MILLIS = 100;

    private static final double STOLEN_FRACTION_LIMIT = 0.05;

    /** What can be said of the program after a play. */
    public enum Verdict {
        /** All that must never happen did not. */
        KEPT,
        /** Something late was found, and the machine was held up itself: the play says nothing. */
        UNDECIDED,
        /** Something that must never happen did. */
        BROKEN
    }

    /**
     * Something that must never happen and did.
     *
     * @param isTiming whether it is a matter of time alone, which a machine that is held up can
     *     cause as well
     */
    public record Finding(String detail, boolean isTiming) {}

    /**
     * What a play came to.
     *
     * @param stallMillis how long the stand-ins themselves stood still at most
     * @param stolenFraction the part of the processor time that the machine beneath took away
     */
    public record Outcome(
            Scenario scenario,
            ScenarioResult result,
            long stallMillis,
            double stolenFraction,
            List<Finding> findings) {
        /** Whether what was found is the program's. */
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
     * Plays a day. {@code directory}: where the balancers keep their files; {@code lines}: hears
     * what happens.
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
                                    + " answers were not what was asked for",
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
