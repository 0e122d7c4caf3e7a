package frostrelay.rig.campaign;

import frostrelay.rig.campaign.History.What;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What balancers made of each other's word on caches, against what the rig did to them: a dead one
 * is lowered by all soon behind the third who found it so, and a healthy one is hardly ever. A pure
 * function; it shares no code with the balancer.
 */
final class JudgementCheck {
    /** What one logged: that it finds a cache bad itself, or the whole set that it lowers. */
    record Line(long at, int balancer, String found, Set<String> lowered) {}

    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000 * MILLISECOND;

    /** Behind the third witness; what takes longer is counted. */
    private static final long AIM = 1_000 * MILLISECOND;

    /**
     * A word that is lost comes with its renewal, three seconds later at most: behind that it is a
     * violation.
     */
    private static final long SOON = 3_500 * MILLISECOND;

    /** What was true is forgotten so long behind its end, and told by then. */
    private static final long REMEMBERED = 12_000 * MILLISECOND;

    /** Of its reads seven of eight go past a lowered cache. */
    private static final double PASSED = 7 / 8.0;

    private static final double MOST_LOST = 0.05;
    private static final int WITNESSES = 3;

    private final History history;
    private final List<String> names;
    private final List<Line> lines;
    private final long begin;
    private final long end;
    private final List<Violation> found = new ArrayList<>();
    private final List<Long> loweredAfter = new ArrayList<>();
    private double mostLost;
    private int deaths;
    private int late;

    /** {@code lines}: in the order of their moments; {@code begin}: when all served. */
    JudgementCheck(History history, List<String> names, List<Line> lines, long begin, long end) {
        this.history = history;
        this.names = names;
        this.lines = lines;
        this.begin = begin;
        this.end = end;
    }

    List<Violation> run() {
        healthy();
        dead();
        return found;
    }

    Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("deaths", deaths);
        figures.put("loweredAfterMs", loweredAfter.stream().sorted().toList());
        figures.put("mostLostOfAHealthyCache", mostLost);
        figures.put("loweredLate", late);
        return figures;
    }

    /**
     * Whether a cache was bad for so many that others may say so, at some moment of a span or a
     * while before.
     */
    private boolean mayBeLowered(String cache, long from, long to) {
        return history.spans().stream()
                .anyMatch(
                        span ->
                                isDeath(span, cache)
                                        && span.from() <= to
                                        && span.to() + REMEMBERED >= from);
    }

    private boolean isDeath(History.Span span, String cache) {
        Happening one = span.happening();
        boolean whom =
                one.whom().stream().anyMatch(number -> cache.equals("cache-" + (number + 1)));
        return whom
                && switch (one.kind()) {
                    case CACHE_SILENT, CACHE_RESTART -> true;
                    case CACHE_CUT -> one.who().size() >= WITNESSES;
                    default -> false;
                };
    }

    /**
     * No healthy cache loses more than a twentieth of its reads at a balancer for what others say.
     */
    private void healthy() {
        for (int balancer = 0; balancer < names.size(); balancer++) {
            for (int number = 1; number <= Schedule.CACHES; number++) {
                String cache = "cache-" + number;
                long since = -1;
                long wrongly = 0;
                for (Line line : lines) {
                    if (line.balancer() != balancer || line.lowered() == null) {
                        continue;
                    }
                    boolean on = line.lowered().contains(cache);
                    if (on && since < 0) {
                        since = line.at();
                    } else if (!on && since >= 0) {
                        wrongly += wrongly(balancer, cache, since, line.at());
                        since = -1;
                    }
                }
                if (since >= 0) {
                    wrongly += wrongly(balancer, cache, since, end);
                }
                double lost = PASSED * wrongly / (end - begin);
                mostLost = Math.max(mostLost, lost);
                if (lost > MOST_LOST) {
                    found.add(
                            new Violation(
                                    "healthy",
                                    String.format(
                                            Locale.ROOT,
                                            "%s passed over %s for %.1f s, which was well",
                                            names.get(balancer),
                                            cache,
                                            wrongly / 1e9)));
                }
            }
        }
    }

    /**
     * Of a span in which a cache was lowered, what lies behind all that may be remembered of its
     * deaths, while the balancer ran.
     */
    private long wrongly(int balancer, String cache, long from, long to) {
        long last =
                mayBeLowered(cache, from, to)
                        ? history.spans().stream()
                                .filter(span -> isDeath(span, cache))
                                .mapToLong(span -> span.to() + REMEMBERED)
                                .max()
                                .orElse(from)
                        : from;
        long begin = Math.max(from, last);
        long stood =
                history.spans().stream()
                        .filter(
                                span ->
                                        span.happening().kind() == Happening.Kind.FREEZE
                                                && span.happening().who().contains(balancer))
                        .mapToLong(
                                span ->
                                        Math.max(
                                                0,
                                                Math.min(to, span.to())
                                                        - Math.max(begin, span.from())))
                        .sum();
        return Math.max(0, to - begin - stood);
    }

    /** Behind the third who found a cache bad each that could hear them lowers it soon. */
    private void dead() {
        for (History.Span span : history.spans()) {
            for (int number : span.happening().whom()) {
                String cache = "cache-" + (number + 1);
                if (!isDeath(span, cache)
                        || span.happening().kind() == Happening.Kind.CACHE_RESTART) {
                    continue;
                }
                deaths++;
                Map<Integer, Long> witnesses = new HashMap<>();
                for (Line line : lines) {
                    if (cache.equals(line.found())
                            && !lies(line.balancer())
                            && line.at() >= span.from()
                            && line.at() <= span.to()) {
                        witnesses.putIfAbsent(line.balancer(), line.at());
                    }
                }
                List<Long> moments = witnesses.values().stream().sorted().toList();
                if (moments.size() >= WITNESSES) {
                    soon(cache, span, witnesses, moments.get(WITNESSES - 1));
                }
            }
        }
    }

    /** In whose name lies are told: what it truly saw is not heard beside them. */
    private boolean lies(int balancer) {
        return history.spans().stream()
                .map(History.Span::happening)
                .anyMatch(
                        one -> one.kind() == Happening.Kind.FORGE && one.who().contains(balancer));
    }

    private void soon(String cache, History.Span span, Map<Integer, Long> witnesses, long third) {
        Set<Integer> first = new HashSet<>();
        witnesses.forEach(
                (balancer, at) -> {
                    if (at <= third) {
                        first.add(balancer);
                    }
                });
        for (int balancer = 0; balancer < names.size(); balancer++) {
            boolean hindered = hindered(balancer, third - 2 * SECOND, third + SOON);
            long limit = third + SOON;
            if (limit > span.to()
                    || !ran(balancer, span.from(), limit)
                    || apart(balancer, first, span.from(), limit)) {
                continue;
            }
            long at = Long.MAX_VALUE;
            boolean lowers = false;
            for (Line line : lines) {
                if (line.balancer() == balancer && line.lowered() != null && line.at() <= limit) {
                    boolean now = line.lowered().contains(cache);
                    at = now && !lowers ? line.at() : at;
                    lowers = now;
                }
            }
            if (lowers) {
                loweredAfter.add(Math.max(0, at - third) / MILLISECOND);
                late += at - third > AIM ? 1 : 0;
            } else if (hindered) {
                // Each speaks for itself alone: what is lost comes with the next renewal.
                late++;
            } else if (room(balancer, limit)) {
                found.add(
                        new Violation(
                                "dead",
                                String.format(
                                        Locale.ROOT,
                                        "%s does not lower %s, %.1f s behind the third who found"
                                                + " it bad at %.3f s",
                                        names.get(balancer),
                                        cache,
                                        (limit - third) / 1e9,
                                        third / 1e9)));
            }
        }
    }

    /** Whether others' word has taken less than it may at that moment: two of six. */
    private boolean room(int balancer, long at) {
        int most = 0;
        for (Line line : lines) {
            most =
                    line.balancer() == balancer && line.lowered() != null && line.at() <= at
                            ? line.lowered().size()
                            : most;
        }
        return most < 2;
    }

    private boolean hindered(int balancer, long from, long to) {
        return history.spans().stream()
                .filter(span -> span.from() <= to && span.to() >= from)
                .map(History.Span::happening)
                .anyMatch(
                        one ->
                                switch (one.kind()) {
                                    case LOSS, DELAY, DAMAGE, DOUBLE -> true;
                                    default -> false;
                                });
    }

    /** Whether it could not hear one of the witnesses: three are needed, so each counts. */
    private boolean apart(int balancer, Set<Integer> witnesses, long from, long to) {
        return history.spans().stream()
                .filter(span -> span.from() <= to && span.to() >= from)
                .map(History.Span::happening)
                .anyMatch(
                        one ->
                                witnesses.stream()
                                        .anyMatch(
                                                other ->
                                                        other != balancer
                                                                && switch (one.kind()) {
                                                                    case PARTITION ->
                                                                            one.who()
                                                                                            .contains(
                                                                                                    other)
                                                                                    != one.who()
                                                                                            .contains(
                                                                                                    balancer);
                                                                    case SILENCE ->
                                                                            one.who()
                                                                                            .contains(
                                                                                                    other)
                                                                                    && one.whom()
                                                                                            .contains(
                                                                                                    balancer);
                                                                    case DISCOVERY_OLD,
                                                                            DISCOVERY_CUT,
                                                                            DISCOVERY_LATE ->
                                                                            one.who()
                                                                                            .contains(
                                                                                                    other)
                                                                                    || one.who()
                                                                                            .contains(
                                                                                                    balancer);
                                                                    case FREEZE, KILL ->
                                                                            one.who()
                                                                                    .contains(
                                                                                            other);
                                                                    default -> false;
                                                                }));
    }

    private boolean ran(int balancer, long from, long to) {
        boolean up = false;
        for (History.Process one : history.processes()) {
            if (one.balancer() == balancer && one.what() != What.WALL && one.at() <= to) {
                if (one.at() >= from) {
                    return false;
                }
                up =
                        one.what() == What.STARTED
                                || one.what() == What.THAWED
                                || one.what() == What.FED;
            }
        }
        return up;
    }
}
