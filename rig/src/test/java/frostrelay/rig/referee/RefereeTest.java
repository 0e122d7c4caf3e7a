package frostrelay.rig.referee;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.rig.client.Tally;
import frostrelay.rig.day.Day;
import frostrelay.rig.day.DayFile;
import frostrelay.rig.fleet.DayPlay;
import frostrelay.rig.fleet.Fleet;
import frostrelay.rig.fleet.Program;
import frostrelay.rig.fleet.Result;
import frostrelay.rig.referee.FaultyBalancer.Fault;

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
 * A referee that never whistles proves nothing: each rule is broken on purpose, and the one broken
 * is the one called.
 */
@Execution(ExecutionMode.SAME_THREAD)
class RefereeTest {
    private static final String DAY =
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

    private record Case(Fault fault, String day, Set<Rule> broken) {}

    private static Day day(String rate, String work, String faults) {
        return DayFile.parse("day.toml", String.format(DAY, rate, work, work) + faults);
    }

    private Result play(Case one) throws Exception {
        String rate = one.fault == Fault.SENDS_TO_THE_FIRST_ONLY ? "400/s" : "150/s";
        String work = one.fault == Fault.SENDS_TO_THE_FIRST_ONLY ? "5ms" : "1ms";
        try (Fleet fleet = new Fleet(day(rate, work, one.day), folder, (Program) null);
                FaultyBalancer balancer =
                        new FaultyBalancer(
                                fleet.balancers().get(0).config(),
                                fleet.balancers().get(0).listen(),
                                one.fault,
                                300)) {
            balancer.start();
            return DayPlay.play(fleet, line -> {});
        }
    }

    @TestFactory
    List<DynamicTest> eachBreachIsSeenAndNoOther() {
        List<DynamicTest> tests = new ArrayList<>();
        for (Case one :
                List.of(
                        new Case(Fault.NONE, "", EnumSet.noneOf(Rule.class)),
                        new Case(Fault.SAYS_NOTHING, "", EnumSet.of(Rule.NO_ANSWER)),
                        new Case(Fault.ENDS_THE_CONNECTION, "", EnumSet.of(Rule.NO_ANSWER)),
                        new Case(
                                Fault.ANSWERS_TWICE,
                                "",
                                EnumSet.of(Rule.TWO_ANSWERS, Rule.FOREIGN_ANSWER)),
                        new Case(Fault.SENDS_USES_TWICE, "", EnumSet.of(Rule.RAN_TWICE)),
                        new Case(
                                Fault.SENDS_NOTES_LATE_AGAIN,
                                "",
                                EnumSet.of(Rule.KEYED_TWICE, Rule.WAIT_OVERSTATED)),
                        new Case(
                                Fault.REFUSES_WHAT_RAN,
                                "",
                                EnumSet.of(Rule.REFUSED_BUT_RAN, Rule.RAN_TWICE)),
                        new Case(Fault.MIXES_VALUES_UP, "", EnumSet.of(Rule.FOREIGN_ANSWER)),
                        new Case(Fault.MAKES_RECEIPTS_UP, "", EnumSet.of(Rule.FOREIGN_ANSWER)),
                        new Case(Fault.NONE, DRAIN, EnumSet.of(Rule.DRAIN_IGNORED)),
                        new Case(
                                Fault.SENDS_TO_THE_FIRST_ONLY,
                                RESTART,
                                EnumSet.of(Rule.COLD_OVERDRIVEN)))) {
            tests.add(
                    DynamicTest.dynamicTest(
                            one.fault + " " + one.broken,
                            () -> {
                                Result result = play(one);
                                for (Rule rule : Rule.values()) {
                                    boolean may = one.broken.contains(rule);
                                    assertTrue(
                                            may || result.referee().count(rule) == 0,
                                            result.referee().breaches().toString());
                                }
                                assertEquals(
                                        !one.broken.isEmpty(),
                                        result.referee().count() > 0,
                                        result.text());
                                assertTrue(result.tally().asked() > 100);
                                assertEquals(one.broken.isEmpty(), result.good());
                                assertEquals(
                                        one.broken.contains(Rule.NO_ANSWER),
                                        result.tally().count(Tally.End.LOST) > 0);
                            }));
        }
        return tests;
    }
}
