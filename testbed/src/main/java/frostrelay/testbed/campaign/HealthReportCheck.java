package frostrelay.testbed.campaign;

import frostrelay.testbed.campaign.EventHistory.ProcessEvent;

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
final class HealthReportCheck {
    /** What one logged: that it finds a cache bad itself, or the whole set that it lowers. */
    record ReportEvent(long atNanos, int balancer, String outlier, Set<String> ejected) {}

    private static final long MILLISECOND_NANOS = 1_000_000L;
    private static final long SECOND_NANOS = 1_000 * MILLISECOND_NANOS;

    /** Behind the third witness; what takes longer is counted. */
    private static final long EXPECTED_EJECTION_NANOS = 1_000 * MILLISECOND_NANOS;

    /**
     * A word that is lost comes with its renewal, three seconds later at most: behind that it is a
     * violation.
     */
    private static final long MAX_EJECTION_NANOS = 3_500 * MILLISECOND_NANOS;

    /** What was true is forgotten so long behind its end, and told by then. */
    private static final long REPORT_EXPIRY_NANOS = 12_000 * MILLISECOND_NANOS;

    /** Of its reads seven of eight go past a lowered cache. */
    private static final double EJECTED_READ_FRACTION = 7 / 8.0;

    private static final double MAX_LOST_FRACTION = 0.05;
    private static final int MIN_REPORTERS = 3;

    private final EventHistory history;
    private final List<String> names;
    private final List<ReportEvent> events;
    private final long beginNanos;
    private final long endNanos;
    private final List<Violation> violations = new ArrayList<>();
    private final List<Long> ejectedAfterMillis = new ArrayList<>();
    private double maxLostFraction;
    private int deaths;
    private int lateEjections;

    /** {@code events}: in the order of their moments; {@code beginNanos}: when all served. */
    HealthReportCheck(
            EventHistory history,
            List<String> names,
            List<ReportEvent> events,
            long beginNanos,
            long endNanos) {
        this.history = history;
        this.names = names;
        this.events = events;
        this.beginNanos = beginNanos;
        this.endNanos = endNanos;
    }

    List<Violation> run() {
        checkHealthyCaches();
        checkDeadCaches();
        return violations;
    }

    Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("deaths", deaths);
        figures.put("loweredAfterMs", ejectedAfterMillis.stream().sorted().toList());
        figures.put("mostLostOfAHealthyCache", maxLostFraction);
        figures.put("loweredLate", lateEjections);
        return figures;
    }

    /**
     * Whether a cache was bad for so many that others may say so, at some moment of a span or a
     * while before.
     */
    private boolean mayBeEjected(String cache, long from, long to) {
        return history.spans().stream()
                .anyMatch(
                        span ->
                                isDeath(span, cache)
                                        && span.fromNanos() <= to
                                        && span.toNanos() + REPORT_EXPIRY_NANOS >= from);
    }

    private boolean isDeath(EventHistory.FaultSpan span, String cache) {
        FaultEvent one = span.faultEvent();
        boolean whom =
                one.targets().stream().anyMatch(number -> cache.equals("cache-" + (number + 1)));
        return whom
                && switch (one.kind()) {
                    case CACHE_SILENT, CACHE_RESTART -> true;
                    case CACHE_CUT -> one.balancers().size() >= MIN_REPORTERS;
                    default -> false;
                };
    }

    /**
     * No healthy cache loses more than a twentieth of its reads at a balancer for what others say.
     */
    private void checkHealthyCaches() {
        for (int balancer = 0; balancer < names.size(); balancer++) {
            for (int number = 1; number <= Schedule.CACHE_COUNT; number++) {
                String cache = "cache-" + number;
                long since = -1;
                long wrongNanos = 0;
                for (ReportEvent event : events) {
                    if (event.balancer() != balancer || event.ejected() == null) {
                        continue;
                    }
                    boolean on = event.ejected().contains(cache);
                    if (on && since < 0) {
                        since = event.atNanos();
                    } else if (!on && since >= 0) {
                        wrongNanos += wronglyEjectedNanos(balancer, cache, since, event.atNanos());
                        since = -1;
                    }
                }
                if (since >= 0) {
                    wrongNanos += wronglyEjectedNanos(balancer, cache, since, endNanos);
                }
                double lostFraction = EJECTED_READ_FRACTION * wrongNanos / (endNanos - beginNanos);
                maxLostFraction = Math.max(maxLostFraction, lostFraction);
                if (lostFraction > MAX_LOST_FRACTION) {
                    violations.add(
                            new Violation(
                                    "healthy",
                                    String.format(
                                            Locale.ROOT,
                                            "%s passed over %s for %.1f s, which was well",
                                            names.get(balancer),
                                            cache,
                                            wrongNanos / 1e9)));
                }
            }
        }
    }

    /**
     * Of a span in which a cache was lowered, what lies behind all that may be remembered of its
     * deaths, while the balancer ran.
     */
    private long wronglyEjectedNanos(int balancer, String cache, long from, long to) {
        long last =
                mayBeEjected(cache, from, to)
                        ? history.spans().stream()
                                .filter(span -> isDeath(span, cache))
                                .mapToLong(span -> span.toNanos() + REPORT_EXPIRY_NANOS)
                                .max()
                                .orElse(from)
                        : from;
        long begin = Math.max(from, last);
        long frozenNanos =
                history.spans().stream()
                        .filter(
                                span ->
                                        span.faultEvent().kind() == FaultEvent.Kind.FREEZE
                                                && span.faultEvent().balancers().contains(balancer))
                        .mapToLong(
                                span ->
                                        Math.max(
                                                0,
                                                Math.min(to, span.toNanos())
                                                        - Math.max(begin, span.fromNanos())))
                        .sum();
        return Math.max(0, to - begin - frozenNanos);
    }

    /** Behind the third who found a cache bad each that could hear them lowers it soon. */
    private void checkDeadCaches() {
        for (EventHistory.FaultSpan span : history.spans()) {
            for (int number : span.faultEvent().targets()) {
                String cache = "cache-" + (number + 1);
                if (!isDeath(span, cache)
                        || span.faultEvent().kind() == FaultEvent.Kind.CACHE_RESTART) {
                    continue;
                }
                deaths++;
                Map<Integer, Long> reporters = new HashMap<>();
                for (ReportEvent event : events) {
                    if (cache.equals(event.outlier())
                            && !hasForgedReports(event.balancer())
                            && event.atNanos() >= span.fromNanos()
                            && event.atNanos() <= span.toNanos()) {
                        reporters.putIfAbsent(event.balancer(), event.atNanos());
                    }
                }
                List<Long> moments = reporters.values().stream().sorted().toList();
                if (moments.size() >= MIN_REPORTERS) {
                    checkEjectedInTime(cache, span, reporters, moments.get(MIN_REPORTERS - 1));
                }
            }
        }
    }

    /** In whose name lies are told: what it truly saw is not heard beside them. */
    private boolean hasForgedReports(int balancer) {
        return history.spans().stream()
                .map(EventHistory.FaultSpan::faultEvent)
                .anyMatch(
                        one ->
                                one.kind() == FaultEvent.Kind.FORGE
                                        && one.balancers().contains(balancer));
    }

    private void checkEjectedInTime(
            String cache,
            EventHistory.FaultSpan span,
            Map<Integer, Long> reporters,
            long thirdReportNanos) {
        Set<Integer> firstReporters = new HashSet<>();
        reporters.forEach(
                (balancer, at) -> {
                    if (at <= thirdReportNanos) {
                        firstReporters.add(balancer);
                    }
                });
        for (int balancer = 0; balancer < names.size(); balancer++) {
            boolean hindered =
                    isHindered(
                            balancer,
                            thirdReportNanos - 2 * SECOND_NANOS,
                            thirdReportNanos + MAX_EJECTION_NANOS);
            long limit = thirdReportNanos + MAX_EJECTION_NANOS;
            if (limit > span.toNanos()
                    || !ranThroughout(balancer, span.fromNanos(), limit)
                    || isPartitioned(balancer, firstReporters, span.fromNanos(), limit)) {
                continue;
            }
            long at = Long.MAX_VALUE;
            boolean isEjected = false;
            for (ReportEvent event : events) {
                if (event.balancer() == balancer
                        && event.ejected() != null
                        && event.atNanos() <= limit) {
                    boolean now = event.ejected().contains(cache);
                    at = now && !isEjected ? event.atNanos() : at;
                    isEjected = now;
                }
            }
            if (isEjected) {
                ejectedAfterMillis.add(Math.max(0, at - thirdReportNanos) / MILLISECOND_NANOS);
                lateEjections += at - thirdReportNanos > EXPECTED_EJECTION_NANOS ? 1 : 0;
            } else if (hindered) {
                // Each speaks for itself alone: what is lost comes with the next renewal.
                lateEjections++;
            } else if (hasEjectionCapacity(balancer, limit)) {
                violations.add(
                        new Violation(
                                "dead",
                                String.format(
                                        Locale.ROOT,
                                        "%s does not lower %s, %.1f s behind the third who found"
                                                + " it bad at %.3f s",
                                        names.get(balancer),
                                        cache,
                                        (limit - thirdReportNanos) / 1e9,
                                        thirdReportNanos / 1e9)));
            }
        }
    }

    /** Whether others' word has taken less than it may at that moment: two of six. */
    private boolean hasEjectionCapacity(int balancer, long at) {
        int ejectedCount = 0;
        for (ReportEvent event : events) {
            ejectedCount =
                    event.balancer() == balancer && event.ejected() != null && event.atNanos() <= at
                            ? event.ejected().size()
                            : ejectedCount;
        }
        return ejectedCount < 2;
    }

    private boolean isHindered(int balancer, long from, long to) {
        return history.spans().stream()
                .filter(span -> span.fromNanos() <= to && span.toNanos() >= from)
                .map(EventHistory.FaultSpan::faultEvent)
                .anyMatch(
                        one ->
                                switch (one.kind()) {
                                    case LOSS, DELAY, DAMAGE, DOUBLE -> true;
                                    default -> false;
                                });
    }

    /** Whether it could not hear one of the witnesses: three are needed, so each counts. */
    private boolean isPartitioned(int balancer, Set<Integer> reporters, long from, long to) {
        return history.spans().stream()
                .filter(span -> span.fromNanos() <= to && span.toNanos() >= from)
                .map(EventHistory.FaultSpan::faultEvent)
                .anyMatch(
                        one ->
                                reporters.stream()
                                        .anyMatch(
                                                other ->
                                                        other != balancer
                                                                && switch (one.kind()) {
                                                                    case PARTITION ->
                                                                            one.balancers()
                                                                                            .contains(
                                                                                                    other)
                                                                                    != one.balancers()
                                                                                            .contains(
                                                                                                    balancer);
                                                                    case SILENCE ->
                                                                            one.balancers()
                                                                                            .contains(
                                                                                                    other)
                                                                                    && one.targets()
                                                                                            .contains(
                                                                                                    balancer);
                                                                    case DISCOVERY_OLD,
                                                                            DISCOVERY_CUT,
                                                                            DISCOVERY_LATE ->
                                                                            one.balancers()
                                                                                            .contains(
                                                                                                    other)
                                                                                    || one.balancers()
                                                                                            .contains(
                                                                                                    balancer);
                                                                    case FREEZE, KILL ->
                                                                            one.balancers()
                                                                                    .contains(
                                                                                            other);
                                                                    default -> false;
                                                                }));
    }

    private boolean ranThroughout(int balancer, long from, long to) {
        boolean up = false;
        for (EventHistory.ProcessChange one : history.processes()) {
            if (one.balancer() == balancer
                    && one.event() != ProcessEvent.WALL
                    && one.atNanos() <= to) {
                if (one.atNanos() >= from) {
                    return false;
                }
                up =
                        one.event() == ProcessEvent.STARTED
                                || one.event() == ProcessEvent.THAWED
                                || one.event() == ProcessEvent.FED;
            }
        }
        return up;
    }
}
