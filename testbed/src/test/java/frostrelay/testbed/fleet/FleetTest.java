package frostrelay.testbed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.testbed.client.ClientStatistics;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.scenario.ScenarioFile;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Checks that real balancers satisfy all invariants under all kinds of injected faults. */
class FleetTest {
    private static final String SCENARIO =
            """
            seed = 11
            length = "7s"
            [fleet]
            caches = 6
            balancers = 2
            discovery-lateness = "200ms"
            [load]
            rate = "250/s"
            keys = 500
            [[class]]
            name = "read"
            share = 0.9
            [[class]]
            name = "use"
            share = 0.06
            aim = "600ms"
            deadline = "2s"
            effect = "never-twice"
            [[class]]
            name = "note"
            share = 0.04
            effect = "keyed"
            [[tenant]]
            name = "t"
            share = 1.0
            """;

    @TempDir private Path folder;

    private static String fault(String at, String kind, String options) {
        return "[[fault]]\nat = \"" + at + "\"\nkind = \"" + kind + "\"\n" + options;
    }

    /**
     * Four balancers must apply changes that their stalled watches missed within 6 s, which
     * requires each of them to send a new call.
     */
    @Test
    void drainsBehindUnresponsiveWatchesAreAppliedInTime() throws Exception {
        Scenario scenario =
                ScenarioFile.parse(
                        "day.toml",
                        SCENARIO.replace("length = \"7s\"", "length = \"10s\"")
                                        .replace("balancers = 2", "balancers = 4")
                                + fault("1500ms", "watch-silent", "amount = \"6s\"\n")
                                + fault("1700ms", "drain", "target = \"cache-3\"\nfor = \"9s\"\n"));
        List<String> lines = new ArrayList<>();
        ScenarioResult result =
                ScenarioRun.run(scenario, folder, BalancerCommand.fromClassPath(), lines::add);
        assertEquals(
                0,
                result.invariantChecker().violationCount(),
                result.invariantChecker().violations().toString());
        assertTrue(result.statistics().requests() > 2_000);
    }

    @Test
    void everyInvariantHoldsThroughEveryFault() throws Exception {
        Scenario scenario =
                ScenarioFile.parse(
                        "day.toml",
                        SCENARIO
                                + fault("500ms", "kill", "target = \"cache-1\"\nfor = \"2s\"\n")
                                + fault(
                                        "900ms",
                                        "slow",
                                        "target = \"cache-2\"\nfactor = 20.0\nfor = \"1s\"\n")
                                + fault("1200ms", "drain", "target = \"cache-3\"\nfor = \"2s\"\n")
                                + fault(
                                        "1500ms",
                                        "silence",
                                        "target = \"cache-4\"\nfor = \"700ms\"\n")
                                + fault("2s", "link-cut", "target = \"cache-5\"\nfor = \"500ms\"\n")
                                + fault(
                                        "2300ms",
                                        "link-delay",
                                        "target = \"cache-6\"\namount = \"80ms\"\nfor = \"1s\"\n")
                                + fault("2600ms", "hold", "target = \"cache-2\"\nfor = \"1s\"\n")
                                + fault("2800ms", "discovery-outage", "for = \"1s\"\n")
                                + fault("3s", "archive-outage", "for = \"400ms\"\n")
                                + fault("3200ms", "surge", "factor = 3.0\nfor = \"500ms\"\n")
                                + fault(
                                        "3500ms",
                                        "link-stall",
                                        "target = \"any-2\"\nfor = \"300ms\"\n")
                                + fault(
                                        "3600ms",
                                        "link-narrow",
                                        "target = \"cache-6\"\nfactor = 20.0\nfor = \"500ms\"\n")
                                + fault("3800ms", "reload", "target = \"any-2\"\n")
                                + fault("4s", "balancer-kill", "target = \"balancer-1\"\n")
                                + fault("5s", "restart", "target = \"cache-5\"\n"));
        List<String> lines = new ArrayList<>();
        ScenarioResult result =
                ScenarioRun.run(scenario, folder, BalancerCommand.fromClassPath(), lines::add);
        assertEquals(
                0,
                result.invariantChecker().violationCount(),
                result.invariantChecker().violations().toString());
        assertEquals(0, result.statistics().wrongResponses());
        assertEquals(0, result.statistics().count(ClientStatistics.Outcome.LOST), result.text());
        assertTrue(result.statistics().requests() > 1_500);
        assertTrue(
                result.statistics().count(ClientStatistics.Outcome.IN_TIME)
                        > result.statistics().requests() / 2,
                result.text());
        assertTrue(
                lines.stream().noneMatch(line -> line.contains("failed:")),
                String.join("\n", lines));
        assertTrue(
                lines.stream().filter(line -> line.contains(">>")).count() >= 15,
                "every fault was injected");
    }
}
