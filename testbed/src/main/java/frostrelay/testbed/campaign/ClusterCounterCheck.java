package frostrelay.testbed.campaign;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What consoles said, second by second, of what the tier does together, against each balancer's own
 * record of its sends (which the audit's check holds against what caches received). Of each sum: it
 * is no less than what was heard, no more than the truth, and its upper bound is no less than the
 * truth; what it covers is no more than was heard of. A pure function; it shares no code with the
 * balancer.
 */
final class ClusterCounterCheck {
    private static final long MILLISECOND_NANOS = 1_000_000L;
    private static final double SECOND_NANOS = 1e9;

    /** Moments of records and answers of consoles stand apart by so much on a busy machine. */
    private static final long SLACK_NANOS = 250 * MILLISECOND_NANOS;

    /** Word older than this is no longer counted. */
    private static final long EXPIRY_NANOS = 10_000 * MILLISECOND_NANOS;

    /**
     * Processes that start stand still for hundreds of milliseconds, and know nobody's clock yet.
     */
    private static final long STARTUP_NANOS = 5_000 * MILLISECOND_NANOS;

    /** An answer that took so long says too little of when it was made. */
    private static final long MAX_RESPONSE_NANOS = 500 * MILLISECOND_NANOS;

    private static final int INCARNATION_TIME_SHIFT = 7;
    private static final long INCARNATION_EPOCH_MILLIS = 1_704_067_200_000L;

    private final EventHistory history;
    private final List<String> names;
    private final Map<String, List<AuditRecord>> records;
    private final StaleInstanceCheck.Moments moments;
    private final List<Violation> violations = new ArrayList<>();
    private int checked;
    private int partiallyCovered;
    private int unbounded;
    private final List<Long> agesMillis = new ArrayList<>();
    private double widestRatio;

    ClusterCounterCheck(
            EventHistory history,
            Map<String, List<AuditRecord>> records,
            List<String> names,
            StaleInstanceCheck.Moments moments) {
        this.history = history;
        this.records = records;
        this.names = names;
        this.moments = moments;
    }

    List<Violation> run() {
        for (EventHistory.AdminSnapshot snapshot : history.counted()) {
            if (snapshot.receivedAtNanos() - snapshot.requestedAtNanos() <= MAX_RESPONSE_NANOS
                    && snapshot.response().get("counts") instanceof Map<?, ?> counts) {
                checkSnapshot(snapshot, (Map<?, ?>) counts.get("sends"));
            }
        }
        return violations;
    }

    Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("countsChecked", checked);
        figures.put("countsThatCoverPart", partiallyCovered);
        figures.put("countsUnbounded", unbounded);
        figures.put("countAgesMs", agesMillis);
        figures.put("widestOfTruth", Math.round(widestRatio * 100) / 100.0);
        return figures;
    }

    private static long number(Object value) {
        return ((Number) value).longValue();
    }

    private void checkSnapshot(EventHistory.AdminSnapshot snapshot, Map<?, ?> sum) {
        long early = snapshot.requestedAtNanos() - SLACK_NANOS;
        long late = snapshot.receivedAtNanos() + SLACK_NANOS;
        long delay = gossipDelayNanos(snapshot.requestedAtNanos());
        List<Integer> alivePeers = new ArrayList<>();
        alivePeers.add(snapshot.balancer());
        for (Object one : (List<?>) snapshot.response().get("peers")) {
            Map<?, ?> peer = (Map<?, ?>) one;
            if ("alive".equals(peer.get("state"))) {
                alivePeers.add((int) number(peer.get("number")));
            }
        }
        long heard = 0;
        int covered = 1;
        int maxCovered = 1;
        long oldest = 0;
        for (Object one : (List<?>) snapshot.response().get("countsOf")) {
            Map<?, ?> row = (Map<?, ?>) one;
            int by = (int) number(row.get("by"));
            long age = number(row.get("ageMs")) * MILLISECOND_NANOS;
            long value = number(row.get("sends"));
            if (snapshot.requestedAtNanos() - age >= STARTUP_NANOS) {
                checkRow(
                        snapshot,
                        by,
                        number(row.get("lifeMs")),
                        value,
                        early - age - delay,
                        late - age);
            }
            maxCovered += alivePeers.contains(by) && age < EXPIRY_NANOS + SLACK_NANOS ? 1 : 0;
            // A while before it is forgotten it may be, and be told as there, by the time the
            // answer is made.
            if (alivePeers.contains(by) && age < EXPIRY_NANOS - SLACK_NANOS) {
                heard += value;
                covered++;
                oldest = Math.max(oldest, age);
            }
        }
        if (snapshot.requestedAtNanos() < STARTUP_NANOS
                || isDisturbed(snapshot.requestedAtNanos())) {
            return;
        }
        checked++;
        partiallyCovered += covered < names.size() ? 1 : 0;
        agesMillis.add(oldest / MILLISECOND_NANOS);
        long known = number(sum.get("known"));
        // Where of one nothing was ever heard it is not known.
        long upperBound =
                sum.get("most") instanceof Number bound ? bound.longValue() : Long.MAX_VALUE;
        unbounded += upperBound == Long.MAX_VALUE ? 1 : 0;
        long localSends = sendsInLatestIncarnation(snapshot.balancer(), early);
        long maxTruth = 0;
        long truth = 0;
        for (int balancer : alivePeers) {
            truth += sendsInLatestIncarnation(balancer, early);
            maxTruth += maxSends(balancer, late);
        }
        widestRatio =
                upperBound == Long.MAX_VALUE
                        ? widestRatio
                        : Math.max(widestRatio, upperBound / (double) Math.max(1, truth));
        reportIf(
                snapshot,
                known > maxTruth,
                "knows of %d sends, and there were %d",
                known,
                maxTruth);
        reportIf(
                snapshot,
                known < heard + localSends,
                "knows of %d sends, and had heard of %d besides its own",
                known,
                heard + localSends);
        reportIf(
                snapshot,
                upperBound < truth,
                "takes it for %d sends at the most, and there were %d",
                upperBound,
                truth);
        reportIf(
                snapshot,
                number(sum.get("covered")) > maxCovered,
                "claims to cover %d, and had heard of %d",
                number(sum.get("covered")),
                maxCovered);
        reportIf(
                snapshot,
                number(sum.get("oldestMs")) * MILLISECOND_NANOS < oldest - 2 * SLACK_NANOS,
                "calls its word %d ms old, and it is %d",
                number(sum.get("oldestMs")),
                oldest / MILLISECOND_NANOS);
        reportIf(
                snapshot,
                number(sum.get("of")) != alivePeers.size(),
                "counts %d balancers as there, and names %d",
                number(sum.get("of")),
                alivePeers.size());
    }

    private void reportIf(
            EventHistory.AdminSnapshot snapshot,
            boolean isWrong,
            String format,
            long one,
            long other) {
        if (isWrong) {
            violations.add(
                    new Violation(
                            "counts",
                            String.format(
                                    Locale.ROOT,
                                    "%s at %.3f s " + format,
                                    names.get(snapshot.balancer()),
                                    snapshot.requestedAtNanos() / SECOND_NANOS,
                                    one,
                                    other)));
        }
    }

    /**
     * What one is said to have sent in a life of it lies between what it had sent when that word
     * set out and when it came.
     */
    private void checkRow(
            EventHistory.AdminSnapshot snapshot,
            int by,
            long incarnationMillis,
            long value,
            long early,
            long late) {
        for (AuditRecord auditRecord : records.getOrDefault(names.get(by), List.of())) {
            boolean isComplete =
                    auditRecord.gaps.isEmpty()
                            && auditRecord.endedCleanly
                            && !auditRecord.beginningLost;
            if (isComplete
                    && auditRecord.incarnations.stream()
                            .anyMatch(
                                    one ->
                                            (one >> INCARNATION_TIME_SHIFT)
                                                            + INCARNATION_EPOCH_MILLIS
                                                    == incarnationMillis)) {
                long minSends = sendsUntil(auditRecord, early);
                reportIf(
                        snapshot,
                        value > sendsUntil(auditRecord, late),
                        "has " + names.get(by) + " at %d sends, which had at most %d",
                        value,
                        sendsUntil(auditRecord, late));
                reportIf(
                        snapshot,
                        value < minSends,
                        "has " + names.get(by) + " at %d sends, which had at least %d",
                        value,
                        minSends);
                return;
            }
        }
    }

    private long sendsUntil(AuditRecord auditRecord, long at) {
        return auditRecord.sent.stream()
                .filter(one -> moments.of(auditRecord, one.atNanos()) <= at)
                .count();
    }

    /** In its latest life that had begun by then. */
    private long sendsInLatestIncarnation(int balancer, long at) {
        long sent = 0;
        for (AuditRecord auditRecord : records.getOrDefault(names.get(balancer), List.of())) {
            sent = moments.of(auditRecord, 0) <= at ? sendsUntil(auditRecord, at) : sent;
        }
        return sent;
    }

    /** In whichever of its lives it had sent the most. */
    private long maxSends(int balancer, long at) {
        return records.getOrDefault(names.get(balancer), List.of()).stream()
                .mapToLong(auditRecord -> sendsUntil(auditRecord, at))
                .max()
                .orElse(0);
    }

    private long gossipDelayNanos(long at) {
        return (long)
                (MILLISECOND_NANOS
                        * history.spans().stream()
                                .filter(
                                        span ->
                                                span.fromNanos() <= at
                                                        && span.toNanos() + EXPIRY_NANOS >= at)
                                .map(EventHistory.FaultSpan::faultEvent)
                                .filter(one -> one.kind() == FaultEvent.Kind.DELAY)
                                .mapToDouble(FaultEvent::amount)
                                .max()
                                .orElse(0));
    }

    /**
     * Whether a process began or ended about then: which life counts is open, and who was told
     * what.
     */
    private boolean isDisturbed(long at) {
        return history.processes().stream()
                .anyMatch(
                        one ->
                                switch (one.event()) {
                                    case STARTED, KILLED, TERMINATED ->
                                            one.atNanos() > 0
                                                    && Math.abs(one.atNanos() - at)
                                                            < EXPIRY_NANOS / 2;
                                    default -> false;
                                });
    }
}
