package frostrelay.audit.fleet;

import frostrelay.audit.Entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Places the clocks of all incarnations on one time line. Wall clocks are not trusted where peers
 * probed each other: an answered probe bounds a moment of one clock by two of another, and such
 * intervals add up along the path to the reference. An incarnation that no peer heard from is
 * placed by its wall clock, and marked so.
 */
public final class ClockAlignment {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    /** Error assumed of a wall clock, about that of one that is not synchronized. */
    private static final long WALL_CLOCK_TOLERANCE_NANOS = 60_000 * NANOS_PER_MILLISECOND;

    /**
     * What to add to an incarnation's times: between {@code minNanos} and {@code maxNanos}. {@code
     * fromPeerSamples}: derived from probes, not from a wall clock.
     */
    public record Offset(long minNanos, long maxNanos, boolean fromPeerSamples) {
        long widthNanos() {
            return maxNanos - minNanos;
        }
    }

    /** A moment on the common time line, known to lie between two. */
    public record TimeInterval(long earliestNanos, long latestNanos) {
        /** Whether this is certainly before another. */
        public boolean isBefore(TimeInterval other) {
            return latestNanos < other.earliestNanos;
        }
    }

    private final Map<IncarnationHistory, Offset> offsets = new HashMap<>();

    /** Aligns incarnations; the start of the first is 0. */
    public ClockAlignment(List<IncarnationHistory> histories) {
        if (histories.isEmpty()) {
            return;
        }
        Map<IncarnationHistory, Map<IncarnationHistory, Offset>> edges = edges(histories);
        IncarnationHistory reference = histories.get(0);
        offsets.put(reference, new Offset(0, 0, true));
        // Dijkstra's algorithm: each incarnation is reached by the narrowest sum of intervals.
        Map<IncarnationHistory, Offset> candidates = new HashMap<>(offsets);
        offsets.clear();
        while (!candidates.isEmpty()) {
            IncarnationHistory nearest =
                    candidates.entrySet().stream()
                            .min(
                                    (a, b) ->
                                            Long.compare(
                                                    a.getValue().widthNanos(),
                                                    b.getValue().widthNanos()))
                            .orElseThrow()
                            .getKey();
            Offset nearestOffset = candidates.remove(nearest);
            offsets.put(nearest, nearestOffset);
            edges.getOrDefault(nearest, Map.of())
                    .forEach(
                            (history, edge) -> {
                                Offset sum =
                                        new Offset(
                                                nearestOffset.minNanos + edge.minNanos,
                                                nearestOffset.maxNanos + edge.maxNanos,
                                                true);
                                if (!offsets.containsKey(history)
                                        && (!candidates.containsKey(history)
                                                || candidates.get(history).widthNanos()
                                                        > sum.widthNanos())) {
                                    candidates.put(history, sum);
                                }
                            });
        }
        for (IncarnationHistory history : histories) {
            long wallOffsetNanos =
                    (history.start().wallMillis() - reference.start().wallMillis())
                            * NANOS_PER_MILLISECOND;
            offsets.putIfAbsent(
                    history,
                    new Offset(
                            wallOffsetNanos - WALL_CLOCK_TOLERANCE_NANOS,
                            wallOffsetNanos + WALL_CLOCK_TOLERANCE_NANOS,
                            false));
        }
    }

    /**
     * For each pair of incarnations that probed each other: what to add to the second's times to
     * get the first's.
     */
    private static Map<IncarnationHistory, Map<IncarnationHistory, Offset>> edges(
            List<IncarnationHistory> histories) {
        Map<IncarnationHistory, Map<IncarnationHistory, Offset>> edges = new HashMap<>();
        for (IncarnationHistory history : histories) {
            for (Entry entry : history.entries()) {
                if (!(entry instanceof Entry.PeerClockSampled clock)) {
                    continue;
                }
                IncarnationHistory other =
                        histories.stream()
                                .filter(
                                        one ->
                                                one != history
                                                        && one.isIncarnation(
                                                                clock.rank(), clock.incarnation()))
                                .findFirst()
                                .orElse(null);
                if (other != null) {
                    Offset edge =
                            new Offset(
                                    clock.sentAtNanos()
                                            - (clock.peerUnixMillis() + 1) * NANOS_PER_MILLISECOND,
                                    clock.atNanos()
                                            - clock.peerUnixMillis() * NANOS_PER_MILLISECOND,
                                    true);
                    intersect(edges, history, other, edge);
                    intersect(
                            edges,
                            other,
                            history,
                            new Offset(-edge.maxNanos, -edge.minNanos, true));
                }
            }
        }
        return edges;
    }

    private static void intersect(
            Map<IncarnationHistory, Map<IncarnationHistory, Offset>> edges,
            IncarnationHistory from,
            IncarnationHistory to,
            Offset edge) {
        edges.computeIfAbsent(from, history -> new HashMap<>())
                .merge(
                        to,
                        edge,
                        (a, b) -> {
                            long minNanos = Math.max(a.minNanos, b.minNanos);
                            long maxNanos = Math.min(a.maxNanos, b.maxNanos);
                            // With drifting clocks two correct intervals may be disjoint: the
                            // narrower one is kept.
                            return minNanos <= maxNanos
                                    ? new Offset(minNanos, maxNanos, true)
                                    : a.widthNanos() <= b.widthNanos() ? a : b;
                        });
    }

    /** Where a time of an incarnation lies on the common time line. */
    public TimeInterval intervalOf(IncarnationHistory history, long atNanos) {
        Offset offset = offsets.get(history);
        return new TimeInterval(atNanos + offset.minNanos, atNanos + offset.maxNanos);
    }

    /** How an incarnation was placed. */
    public Offset offset(IncarnationHistory history) {
        return offsets.get(history);
    }
}
