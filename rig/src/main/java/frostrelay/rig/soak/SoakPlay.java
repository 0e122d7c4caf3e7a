package frostrelay.rig.soak;

import frostrelay.rig.client.Tally;
import frostrelay.rig.day.Day;
import frostrelay.rig.fleet.DayPlay;
import frostrelay.rig.fleet.Fleet;
import frostrelay.rig.fleet.Program;
import frostrelay.rig.fleet.Result;
import frostrelay.rig.referee.Rule;

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
public final class SoakPlay {
    /** Events of a balancer's log that no fault from outside may cause. */
    private static final List<String> BAD_EVENTS =
            List.of(
                    "\"event\":\"violation\"",
                    "\"event\":\"unexpected\"",
                    "\"event\":\"cannot-start\"",
                    "\"event\":\"stopped-short\"");

    /** Invariants in the log that are a matter of time. */
    private static final List<String> TIMING_LINES =
            List.of(
                    "\"invariant\":\"UNANSWERED\"",
                    "\"invariant\":\"TIME_OVERSTATED\"",
                    "\"invariant\":\"WRITTEN_AGAINST_GUARD\"");

    /** Rules that are a matter of time. */
    private static final Set<Rule> TIMING_RULES =
            EnumSet.of(
                    Rule.NO_ANSWER,
                    Rule.BEGUN_AFTER_CLIENT_LEFT,
                    Rule.WAIT_OVERSTATED,
                    Rule.DRAIN_IGNORED);

    private static final int MOST_LINES_EACH = 5;

    /** From these on the machine was held up itself. */
    private static final long HELD_UP_MS = 100;

    private static final double HELD_UP_PART = 0.05;

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
     * @param timing whether it is a matter of time alone, which a machine that is held up can cause
     *     as well
     */
    public record Finding(String what, boolean timing) {}

    /**
     * What a play came to.
     *
     * @param stallMs how long the stand-ins themselves stood still at most
     * @param stolenPart the part of the processor time that the machine beneath took away
     */
    public record Outcome(
            Day day, Result result, long stallMs, double stolenPart, List<Finding> findings) {
        /** Whether what was found is the program's. */
        public Verdict verdict() {
            if (findings.isEmpty()) {
                return Verdict.KEPT;
            }
            boolean heldUp = stallMs >= HELD_UP_MS || stolenPart >= HELD_UP_PART;
            return heldUp && findings.stream().allMatch(Finding::timing)
                    ? Verdict.UNDECIDED
                    : Verdict.BROKEN;
        }
    }

    private SoakPlay() {}

    /**
     * Plays a day. {@code folder}: where the balancers keep their files; {@code lines}: hears what
     * happens.
     */
    public static Outcome play(Day day, Path folder, Program program, Consumer<String> lines)
            throws IOException, InterruptedException {
        List<Finding> findings = new ArrayList<>();
        MachineLoad load = MachineLoad.begin();
        Result result;
        long stallMs;
        try (Fleet fleet = new Fleet(day, folder, program)) {
            fleet.startBalancers();
            result = DayPlay.play(fleet, lines);
            stallMs = fleet.longestStallMs();
            for (Fleet.Place place : fleet.balancers()) {
                if (!place.process().isAlive()) {
                    findings.add(
                            new Finding(
                                    "CRASH: " + place.name() + " does not run at the end", false));
                }
                findings.addAll(badLines(place));
            }
        }
        result.referee()
                .breaches()
                .forEach(
                        breach ->
                                findings.add(
                                        new Finding(
                                                breach.rule() + ": " + breach.what(),
                                                TIMING_RULES.contains(breach.rule()))));
        long lost = result.tally().count(Tally.End.LOST);
        if (lost > 0) {
            findings.add(
                    new Finding("LOST: " + lost + " first tries ended without an answer", true));
        }
        if (result.tally().wrongAnswers() > 0) {
            findings.add(
                    new Finding(
                            "WRONG: "
                                    + result.tally().wrongAnswers()
                                    + " answers were not what was asked for",
                            false));
        }
        return new Outcome(day, result, stallMs, load.stolenPart(), findings);
    }

    private static List<Finding> badLines(Fleet.Place place) throws IOException {
        try (Stream<String> log = Files.lines(place.process().log())) {
            return log.filter(line -> BAD_EVENTS.stream().anyMatch(line::contains))
                    .limit(MOST_LINES_EACH)
                    .map(
                            line ->
                                    new Finding(
                                            "LOG: " + place.name() + ": " + line,
                                            TIMING_LINES.stream().anyMatch(line::contains)))
                    .toList();
        }
    }
}
