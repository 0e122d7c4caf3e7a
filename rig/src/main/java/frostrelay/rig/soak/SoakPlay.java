package frostrelay.rig.soak;

import frostrelay.rig.client.Tally;
import frostrelay.rig.day.Day;
import frostrelay.rig.fleet.DayPlay;
import frostrelay.rig.fleet.Fleet;
import frostrelay.rig.fleet.Program;
import frostrelay.rig.fleet.Result;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Plays a drawn day on real processes and holds it against what must never happen. */
public final class SoakPlay {
    /** Events of a balancer's log that no fault from outside may cause. */
    private static final List<String> BAD_EVENTS = List.of("\"event\":\"violation\"", "\"event\":\"unexpected\"",
            "\"event\":\"cannot-start\"", "\"event\":\"stopped-short\"");
    private static final int MOST_LINES_EACH = 5;

    /** What a play came to. {@code stallMs}: how long the stand-ins themselves stood still at most; {@code findings}: what must never happen and did, in words. */
    public record Outcome(Day day, Result result, long stallMs, List<String> findings) {
    }

    private SoakPlay() {
    }

    /** Plays a day. {@code folder}: where the balancers keep their files; {@code lines}: hears what happens. */
    public static Outcome play(Day day, Path folder, Program program, Consumer<String> lines) throws IOException, InterruptedException {
        List<String> findings = new ArrayList<>();
        Result result;
        long stallMs;
        try (Fleet fleet = new Fleet(day, folder, program)) {
            fleet.startBalancers();
            result = DayPlay.play(fleet, lines);
            stallMs = fleet.longestStallMs();
            for (Fleet.Place place : fleet.balancers()) {
                if (!place.process().isAlive()) {
                    findings.add("CRASH: " + place.name() + " does not run at the end");
                }
                findings.addAll(badLines(place));
            }
        }
        result.referee().breaches().forEach(breach -> findings.add(breach.rule() + ": " + breach.what()));
        long lost = result.tally().count(Tally.End.LOST);
        if (lost > 0) {
            findings.add("LOST: " + lost + " first tries ended without an answer");
        }
        if (result.tally().wrongAnswers() > 0) {
            findings.add("WRONG: " + result.tally().wrongAnswers() + " answers were not what was asked for");
        }
        return new Outcome(day, result, stallMs, findings);
    }

    private static List<String> badLines(Fleet.Place place) throws IOException {
        try (Stream<String> log = Files.lines(place.process().log())) {
            return log.filter(line -> BAD_EVENTS.stream().anyMatch(line::contains)).limit(MOST_LINES_EACH)
                    .map(line -> "LOG: " + place.name() + ": " + line).toList();
        }
    }
}
