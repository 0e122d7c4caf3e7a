package frostrelay.rig.fleet;

import frostrelay.rig.client.Tally;
import frostrelay.rig.referee.Referee;
import frostrelay.rig.referee.Rule;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What a day came to. */
public record Result(
        Tally tally, Referee referee, long hits, long misses, long fetches, double seconds) {
    /** All first tries kept their rules and none got a wrong answer or none at all. */
    public boolean good() {
        return tally.asked() > 0
                && tally.wrongAnswers() == 0
                && tally.count(Tally.End.LOST) == 0
                && referee.count() == 0;
    }

    /** The share of reads that caches served from memory. */
    public double hitShare() {
        return hits + misses == 0 ? 0 : hits / (double) (hits + misses);
    }

    /** Sends beyond the first of each try, for each try. */
    public double copyShare() {
        return tally.tries() == 0 ? 0 : referee.copies() / (double) tally.tries();
    }

    /** All figures, for machines. */
    public Map<String, Object> json() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("asked", tally.asked());
        all.put("tries", tally.tries());
        all.put("servedInTime", tally.count(Tally.End.IN_TIME));
        all.put("servedLate", tally.count(Tally.End.LATE));
        all.put("refused", tally.count(Tally.End.REFUSED));
        all.put("failed", tally.count(Tally.End.FAILED));
        all.put("excused", tally.count(Tally.End.EXCUSED));
        all.put("wrong", tally.wrongAnswers());
        all.put("lost", tally.count(Tally.End.LOST));
        all.put("ruleBreaks", referee.count());
        all.put("p50Ms", round(tally.ms(50)));
        all.put("p90Ms", round(tally.ms(90)));
        all.put("p99Ms", round(tally.ms(99)));
        all.put("p999Ms", round(tally.ms(99.9)));
        all.put("service", round(tally.service()));
        all.put("copyShare", round(copyShare()));
        all.put("hitShare", round(hitShare()));
        all.put("fetches", fetches);
        all.put("seconds", round(seconds));
        all.put("classes", tally.byClass());
        Map<String, Object> rules = new LinkedHashMap<>();
        for (Rule rule : Rule.values()) {
            rules.put(rule.name().toLowerCase(Locale.ROOT), referee.count(rule));
        }
        all.put("rules", rules);
        List<String> breaches = new ArrayList<>();
        referee.breaches().forEach(breach -> breaches.add(breach.rule() + ": " + breach.what()));
        all.put("breaches", breaches);
        return all;
    }

    private static double round(double value) {
        return Math.round(value * 10_000) / 10_000.0;
    }

    /** All figures, for people. */
    public String text() {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "%,d requests in %.1f s: %.2f%% served in time, %d late, %d refused, %d failed, %d lost, %d wrong%n"
                                        + "latency from the intended time: p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, p99.9 %.1f ms%n"
                                        + "copies %.1f%% of tries, hits %.1f%% of reads at caches, %,d calls to the archive%n",
                                tally.asked(),
                                seconds,
                                100.0 * tally.count(Tally.End.IN_TIME) / Math.max(1, tally.asked()),
                                tally.count(Tally.End.LATE),
                                tally.count(Tally.End.REFUSED),
                                tally.count(Tally.End.FAILED),
                                tally.count(Tally.End.LOST),
                                tally.wrongAnswers(),
                                tally.ms(50),
                                tally.ms(90),
                                tally.ms(99),
                                tally.ms(99.9),
                                100 * copyShare(),
                                100 * hitShare(),
                                fetches));
        if (referee.count() == 0) {
            text.append("rules: all kept");
        } else {
            text.append("rules broken ").append(referee.count()).append(" times:");
            referee.breaches().stream()
                    .limit(10)
                    .forEach(
                            breach ->
                                    text.append(System.lineSeparator())
                                            .append("  ")
                                            .append(breach.rule())
                                            .append(": ")
                                            .append(breach.what()));
        }
        return text.toString();
    }
}
