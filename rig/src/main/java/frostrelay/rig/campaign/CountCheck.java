package frostrelay.rig.campaign;

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
final class CountCheck {
    private static final long MILLISECOND = 1_000_000L;
    private static final double SECOND = 1e9;

    /** Moments of records and answers of consoles stand apart by so much on a busy machine. */
    private static final long SLACK = 250 * MILLISECOND;

    /** Word older than this is no longer counted. */
    private static final long FORGOTTEN = 10_000 * MILLISECOND;

    /**
     * Processes that start stand still for hundreds of milliseconds, and know nobody's clock yet.
     */
    private static final long START = 5_000 * MILLISECOND;

    /** An answer that took so long says too little of when it was made. */
    private static final long SLOW = 500 * MILLISECOND;

    private static final int SINCE_2024 = 7;
    private static final long EPOCH = 1_704_067_200_000L;

    private final History history;
    private final List<String> names;
    private final Map<String, List<AuditRecord>> records;
    private final StragglerCheck.Moments moments;
    private final List<Violation> found = new ArrayList<>();
    private int checked;
    private int partly;
    private int unbounded;
    private final List<Long> ages = new ArrayList<>();
    private double widest;

    CountCheck(
            History history,
            Map<String, List<AuditRecord>> records,
            List<String> names,
            StragglerCheck.Moments moments) {
        this.history = history;
        this.records = records;
        this.names = names;
        this.moments = moments;
    }

    List<Violation> run() {
        for (History.Look look : history.counted()) {
            if (look.until() - look.at() <= SLOW
                    && look.said().get("counts") instanceof Map<?, ?> counts) {
                look(look, (Map<?, ?>) counts.get("sends"));
            }
        }
        return found;
    }

    Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("countsChecked", checked);
        figures.put("countsThatCoverPart", partly);
        figures.put("countsUnbounded", unbounded);
        figures.put("countAgesMs", ages);
        figures.put("widestOfTruth", Math.round(widest * 100) / 100.0);
        return figures;
    }

    private static long number(Object value) {
        return ((Number) value).longValue();
    }

    private void look(History.Look look, Map<?, ?> sum) {
        long early = look.at() - SLACK;
        long late = look.until() + SLACK;
        long delay = delay(look.at());
        List<Integer> there = new ArrayList<>();
        there.add(look.balancer());
        for (Object one : (List<?>) look.said().get("peers")) {
            Map<?, ?> peer = (Map<?, ?>) one;
            if ("alive".equals(peer.get("state"))) {
                there.add((int) number(peer.get("number")));
            }
        }
        long heard = 0;
        int covered = 1;
        int perhaps = 1;
        long oldest = 0;
        for (Object one : (List<?>) look.said().get("countsOf")) {
            Map<?, ?> row = (Map<?, ?>) one;
            int by = (int) number(row.get("by"));
            long age = number(row.get("ageMs")) * MILLISECOND;
            long value = number(row.get("sends"));
            if (look.at() - age >= START) {
                row(look, by, number(row.get("lifeMs")), value, early - age - delay, late - age);
            }
            perhaps += there.contains(by) && age < FORGOTTEN + SLACK ? 1 : 0;
            // A while before it is forgotten it may be, and be told as there, by the time the
            // answer is made.
            if (there.contains(by) && age < FORGOTTEN - SLACK) {
                heard += value;
                covered++;
                oldest = Math.max(oldest, age);
            }
        }
        if (look.at() < START || disturbed(look.at())) {
            return;
        }
        checked++;
        partly += covered < names.size() ? 1 : 0;
        ages.add(oldest / MILLISECOND);
        long known = number(sum.get("known"));
        // Where of one nothing was ever heard it is not known.
        long most = sum.get("most") instanceof Number bound ? bound.longValue() : Long.MAX_VALUE;
        unbounded += most == Long.MAX_VALUE ? 1 : 0;
        long own = latest(look.balancer(), early);
        long least = 0;
        long truth = 0;
        for (int balancer : there) {
            truth += latest(balancer, early);
            least += most(balancer, late);
        }
        widest =
                most == Long.MAX_VALUE
                        ? widest
                        : Math.max(widest, most / (double) Math.max(1, truth));
        tell(look, known > least, "knows of %d sends, and there were %d", known, least);
        tell(
                look,
                known < heard + own,
                "knows of %d sends, and had heard of %d besides its own",
                known,
                heard + own);
        tell(
                look,
                most < truth,
                "takes it for %d sends at the most, and there were %d",
                most,
                truth);
        tell(
                look,
                number(sum.get("covered")) > perhaps,
                "claims to cover %d, and had heard of %d",
                number(sum.get("covered")),
                perhaps);
        tell(
                look,
                number(sum.get("oldestMs")) * MILLISECOND < oldest - 2 * SLACK,
                "calls its word %d ms old, and it is %d",
                number(sum.get("oldestMs")),
                oldest / MILLISECOND);
        tell(
                look,
                number(sum.get("of")) != there.size(),
                "counts %d balancers as there, and names %d",
                number(sum.get("of")),
                there.size());
    }

    private void tell(History.Look look, boolean wrong, String what, long one, long other) {
        if (wrong) {
            found.add(
                    new Violation(
                            "counts",
                            String.format(
                                    Locale.ROOT,
                                    "%s at %.3f s " + what,
                                    names.get(look.balancer()),
                                    look.at() / SECOND,
                                    one,
                                    other)));
        }
    }

    /**
     * What one is said to have sent in a life of it lies between what it had sent when that word
     * set out and when it came.
     */
    private void row(History.Look look, int by, long lifeMs, long value, long early, long late) {
        for (AuditRecord life : records.getOrDefault(names.get(by), List.of())) {
            boolean whole = life.gaps.isEmpty() && life.ended && !life.beginningLost;
            if (whole
                    && life.incarnations.stream()
                            .anyMatch(one -> (one >> SINCE_2024) + EPOCH == lifeMs)) {
                long least = sent(life, early);
                tell(
                        look,
                        value > sent(life, late),
                        "has " + names.get(by) + " at %d sends, which had at most %d",
                        value,
                        sent(life, late));
                tell(
                        look,
                        value < least,
                        "has " + names.get(by) + " at %d sends, which had at least %d",
                        value,
                        least);
                return;
            }
        }
    }

    private long sent(AuditRecord life, long at) {
        return life.sent.stream().filter(one -> moments.of(life, one.at()) <= at).count();
    }

    /** In its latest life that had begun by then. */
    private long latest(int balancer, long at) {
        long sent = 0;
        for (AuditRecord life : records.getOrDefault(names.get(balancer), List.of())) {
            sent = moments.of(life, 0) <= at ? sent(life, at) : sent;
        }
        return sent;
    }

    /** In whichever of its lives it had sent the most. */
    private long most(int balancer, long at) {
        return records.getOrDefault(names.get(balancer), List.of()).stream()
                .mapToLong(life -> sent(life, at))
                .max()
                .orElse(0);
    }

    private long delay(long at) {
        return (long)
                (MILLISECOND
                        * history.spans().stream()
                                .filter(span -> span.from() <= at && span.to() + FORGOTTEN >= at)
                                .map(History.Span::happening)
                                .filter(one -> one.kind() == Happening.Kind.DELAY)
                                .mapToDouble(Happening::amount)
                                .max()
                                .orElse(0));
    }

    /**
     * Whether a process began or ended about then: which life counts is open, and who was told
     * what.
     */
    private boolean disturbed(long at) {
        return history.processes().stream()
                .anyMatch(
                        one ->
                                switch (one.what()) {
                                    case STARTED, KILLED, TERMINATED ->
                                            one.at() > 0 && Math.abs(one.at() - at) < FORGOTTEN / 2;
                                    default -> false;
                                });
    }
}
