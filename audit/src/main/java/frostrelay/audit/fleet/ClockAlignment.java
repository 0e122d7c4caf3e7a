package frostrelay.audit.fleet;

import frostrelay.audit.Entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Maps the clocks of all incarnations to one time line. Wall clocks are not used where peers probed
 * each other: an answered probe bounds a time of one clock by two times of another, and such
 * intervals add up along the path to the reference incarnation. An incarnation without answered
 * probes is placed by its wall clock and marked accordingly.
 */
public final class ClockAlignment {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    /** Assumed error of a wall clock: about that of an unsynchronized clock. */
    private static final long WALL_CLOCK_TOLERANCE_NANOS = 60_000 * NANOS_PER_MILLISECOND;

    /**
     * Bounds on the offset from an incarnation's clock to the common time line. {@code
     * fromPeerSamples}: derived from probes, not from a wall clock.
     */
    public record Offset(long minNanos, long maxNanos, boolean fromPeerSamples) {
        long widthNanos() {
            return maxNanos - minNanos;
        }
    }

    /** Bounds on a time on the common time line. */
    public record TimeInterval(long earliestNanos, long latestNanos) {
        /** Returns whether this time is certainly before the other. */
        public boolean isBefore(TimeInterval other) {
            return latestNanos < other.earliestNanos;
        }
    }

    private final Map<IncarnationHistory, Offset> offsets = new HashMap<>();

    /** Aligns incarnations; time 0 is the start of the first. */
    public ClockAlignment(List<IncarnationHistory> histories) {
        if (histories.isEmpty()) {
            return;
        }
        Map<IncarnationHistory, Map<IncarnationHistory, Offset>> edges = edges(histories);
        IncarnationHistory reference = histories.get(0);
        offsets.put(reference, new Offset(0, 0, true));
        // Dijkstra's algorithm: finds the path with the narrowest sum of intervals.
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
     * Returns, for each pair of incarnations that probed each other, the offset from the second's
     * clock to the first's.
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
                            // With drifting clocks two correct intervals may be disjoint; the
                            // narrower one is kept.
                            return minNanos <= maxNanos
                                    ? new Offset(minNanos, maxNanos, true)
                                    : a.widthNanos() <= b.widthNanos() ? a : b;
                        });
    }

    /** Converts a time of an incarnation to the common time line. */
    public TimeInterval intervalOf(IncarnationHistory history, long atNanos) {
        Offset offset = offsets.get(history);
        return new TimeInterval(atNanos + offset.minNanos, atNanos + offset.maxNanos);
    }

    /** Returns the offset of an incarnation and how it was derived. */
    public Offset offset(IncarnationHistory history) {
        return offsets.get(history);
    }
}
