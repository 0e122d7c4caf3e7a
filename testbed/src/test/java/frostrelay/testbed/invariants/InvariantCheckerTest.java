package frostrelay.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.testbed.client.ClientStatistics;
import frostrelay.testbed.fleet.BalancerCommand;
import frostrelay.testbed.fleet.ScenarioResult;
import frostrelay.testbed.fleet.ScenarioRun;
import frostrelay.testbed.fleet.TestCluster;
import frostrelay.testbed.invariants.FaultyBalancer.Fault;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.scenario.ScenarioFile;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Guards against a checker that misses violations: each invariant is violated on purpose, and
 * exactly that violation must be reported.
 */
@Execution(ExecutionMode.SAME_THREAD)
class InvariantCheckerTest {
    private static final String SCENARIO =
            """
            seed = 3
            length = "1200ms"
            [fleet]
            caches = 3
            balancers = 1
            discovery-lateness = "0ms"
            drain-grace = "100ms"
            repeat-window = "100ms"
            [cache]
            memory = "1MiB"
            warm-within = "20s"
            tip-window = "300ms"
            [load]
            rate = "%s"
            keys = 50
            [[class]]
            name = "read"
            share = 0.6
            work-least = "%s"
            work-most = "%s"
            [[class]]
            name = "use"
            share = 0.2
            effect = "never-twice"
            [[class]]
            name = "note"
            share = 0.2
            effect = "keyed"
            [[tenant]]
            name = "t"
            share = 1.0
            """;
    private static final String DRAIN =
            """
            [[fault]]
            at = "200ms"
            kind = "drain"
            target = "cache-1"
            """;
    private static final String RESTART =
            """
            [[fault]]
            at = "100ms"
            kind = "restart"
            target = "cache-1"
            """;

    @TempDir private Path folder;

    private record Case(Fault fault, String faults, Set<Invariant> violated) {}

    private static Scenario scenario(String rate, String work, String faults) {
        return ScenarioFile.parse("day.toml", String.format(SCENARIO, rate, work, work) + faults);
    }

    private ScenarioResult play(Case testCase) throws Exception {
        String rate = testCase.fault == Fault.SENDS_TO_THE_FIRST_ONLY ? "400/s" : "150/s";
        String work = testCase.fault == Fault.SENDS_TO_THE_FIRST_ONLY ? "5ms" : "1ms";
        try (TestCluster fleet =
                        new TestCluster(
                                scenario(rate, work, testCase.faults),
                                folder,
                                (BalancerCommand) null);
                FaultyBalancer balancer =
                        new FaultyBalancer(
                                fleet.balancers().get(0).config(),
                                fleet.balancers().get(0).listenAddress(),
                                testCase.fault,
                                300)) {
            balancer.start();
            return ScenarioRun.run(fleet, line -> {});
        }
    }

    @TestFactory
    List<DynamicTest> eachViolationIsDetectedAndNoOther() {
        List<DynamicTest> tests = new ArrayList<>();
        for (Case testCase :
                List.of(
                        new Case(Fault.NONE, "", EnumSet.noneOf(Invariant.class)),
                        new Case(Fault.SAYS_NOTHING, "", EnumSet.of(Invariant.NO_ANSWER)),
                        new Case(Fault.ENDS_THE_CONNECTION, "", EnumSet.of(Invariant.NO_ANSWER)),
                        new Case(
                                Fault.ANSWERS_TWICE,
                                "",
                                EnumSet.of(Invariant.TWO_ANSWERS, Invariant.FOREIGN_ANSWER)),
                        new Case(Fault.SENDS_USES_TWICE, "", EnumSet.of(Invariant.RAN_TWICE)),
                        new Case(
                                Fault.SENDS_NOTES_LATE_AGAIN,
                                "",
                                EnumSet.of(Invariant.KEYED_TWICE, Invariant.WAIT_OVERSTATED)),
                        new Case(
                                Fault.REFUSES_WHAT_RAN,
                                "",
                                EnumSet.of(Invariant.REFUSED_BUT_RAN, Invariant.RAN_TWICE)),
                        new Case(Fault.MIXES_VALUES_UP, "", EnumSet.of(Invariant.FOREIGN_ANSWER)),
                        new Case(Fault.MAKES_RECEIPTS_UP, "", EnumSet.of(Invariant.FOREIGN_ANSWER)),
                        new Case(Fault.NONE, DRAIN, EnumSet.of(Invariant.DRAIN_IGNORED)),
                        new Case(
                                Fault.SENDS_TO_THE_FIRST_ONLY,
                                RESTART,
                                EnumSet.of(Invariant.COLD_OVERDRIVEN)))) {
            tests.add(
                    DynamicTest.dynamicTest(
                            testCase.fault + " " + testCase.violated,
                            () -> {
                                ScenarioResult result = play(testCase);
                                for (Invariant invariant : Invariant.values()) {
                                    boolean isExpected = testCase.violated.contains(invariant);
                                    assertTrue(
                                            isExpected
                                                    || result.invariantChecker()
                                                                    .violationCount(invariant)
                                                            == 0,
                                            result.invariantChecker().violations().toString());
                                }
                                assertEquals(
                                        !testCase.violated.isEmpty(),
                                        result.invariantChecker().violationCount() > 0,
                                        result.text());
                                assertTrue(result.statistics().requests() > 100);
                                assertEquals(testCase.violated.isEmpty(), result.isSuccessful());
                                assertEquals(
                                        testCase.violated.contains(Invariant.NO_ANSWER),
                                        result.statistics().count(ClientStatistics.Outcome.LOST)
                                                > 0);
                            }));
        }
        return tests;
    }
}
