package frostrelay.audit.fleet;

import frostrelay.audit.Entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Puts the moments of all lives on one line. Wall clocks are not believed where peers heard each
 * other: an answered probe says that a moment of one life lies between two of another, and such
 * intervals add up along the way to the reference. A life that nobody heard is placed by its wall
 * clock, and that is said.
 */
public final class Clocks {
    private static final long MILLISECOND = 1_000_000L;

    /**
     * A wall clock is believed to this where there is nothing better: what a badly kept one is off
     * by.
     */
    private static final long WALL_TRUST = 60_000 * MILLISECOND;

    /**
     * What to add to a life's moments: between {@code least} and {@code most}. {@code heard}:
     * peers' word, not a wall clock's.
     */
    public record Offset(long least, long most, boolean heard) {
        long width() {
            return most - least;
        }
    }

    /** A moment on the common line, which lies between two. */
    public record Moment(long earliest, long latest) {
        /** Whether this is certainly before another. */
        public boolean before(Moment other) {
            return latest < other.earliest;
        }
    }

    private final Map<Life, Offset> offsets = new HashMap<>();

    /** The first life is the reference: its start is 0. */
    public Clocks(List<Life> lives) {
        if (lives.isEmpty()) {
            return;
        }
        Map<Life, Map<Life, Offset>> edges = edges(lives);
        Life reference = lives.get(0);
        offsets.put(reference, new Offset(0, 0, true));
        // Widening from the best known: the narrowest sum of intervals reaches each life first.
        Map<Life, Offset> open = new HashMap<>(offsets);
        offsets.clear();
        while (!open.isEmpty()) {
            Life next =
                    open.entrySet().stream()
                            .min((a, b) -> Long.compare(a.getValue().width(), b.getValue().width()))
                            .orElseThrow()
                            .getKey();
            Offset at = open.remove(next);
            offsets.put(next, at);
            edges.getOrDefault(next, Map.of())
                    .forEach(
                            (life, edge) -> {
                                Offset sum =
                                        new Offset(
                                                at.least + edge.least, at.most + edge.most, true);
                                if (!offsets.containsKey(life)
                                        && (!open.containsKey(life)
                                                || open.get(life).width() > sum.width())) {
                                    open.put(life, sum);
                                }
                            });
        }
        for (Life life : lives) {
            long wall = (life.start().wallMs() - reference.start().wallMs()) * MILLISECOND;
            offsets.putIfAbsent(life, new Offset(wall - WALL_TRUST, wall + WALL_TRUST, false));
        }
    }

    /**
     * For each pair of lives that probed each other: what to add to the second's moments to get the
     * first's.
     */
    private static Map<Life, Map<Life, Offset>> edges(List<Life> lives) {
        Map<Life, Map<Life, Offset>> edges = new HashMap<>();
        for (Life life : lives) {
            for (Entry entry : life.entries()) {
                if (!(entry instanceof Entry.Clock clock)) {
                    continue;
                }
                Life other =
                        lives.stream()
                                .filter(
                                        one ->
                                                one != life
                                                        && one.is(
                                                                clock.rank(), clock.incarnation()))
                                .findFirst()
                                .orElse(null);
                if (other != null) {
                    Offset edge =
                            new Offset(
                                    clock.sent() - (clock.theirMs() + 1) * MILLISECOND,
                                    clock.at() - clock.theirMs() * MILLISECOND,
                                    true);
                    narrow(edges, life, other, edge);
                    narrow(edges, other, life, new Offset(-edge.most, -edge.least, true));
                }
            }
        }
        return edges;
    }

    private static void narrow(
            Map<Life, Map<Life, Offset>> edges, Life from, Life to, Offset fresh) {
        edges.computeIfAbsent(from, life -> new HashMap<>())
                .merge(
                        to,
                        fresh,
                        (a, b) -> {
                            long least = Math.max(a.least, b.least);
                            long most = Math.min(a.most, b.most);
                            // Clocks that drift make two true intervals miss each other: the
                            // narrower one stands.
                            return least <= most
                                    ? new Offset(least, most, true)
                                    : a.width() <= b.width() ? a : b;
                        });
    }

    /** Where a moment of a life lies on the common line. */
    public Moment moment(Life life, long at) {
        Offset offset = offsets.get(life);
        return new Moment(at + offset.least, at + offset.most);
    }

    /** How a life was placed. */
    public Offset offset(Life life) {
        return offsets.get(life);
    }
}
