package frostrelay.judgements;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntPredicate;

/**
 * What others say of one cache. Each writer's own word is a register of its own; what a third
 * brings of it stands beside it, by who brought it, and is passed over where the writer itself has
 * spoken since. For one thread.
 */
final class Said {
    /**
     * So many writers that only others bring are kept, and so many who bring each: more voices than
     * anybody needs.
     */
    private static final int MOST_BROUGHT = 24;

    private static final int MOST_BRINGERS = 3;

    /** Evidence, and when its writer wrote it, on this balancer's clock. */
    static final class Known {
        Evidence evidence;
        long at;

        /** Takes the later; whether that changed anything. */
        boolean take(Evidence other, long when) {
            Evidence joined = Evidence.join(evidence, other);
            if (joined.equals(evidence)) {
                return false;
            }
            evidence = joined;
            at = when;
            return true;
        }

        private boolean fits(long now, long forget, int boot) {
            return now - at < forget && evidence.boot() == boot;
        }
    }

    private final Map<Integer, Known> own = new HashMap<>();

    /** By writer and by who brought it. */
    private final Map<Integer, Map<Integer, Known>> brought = new TreeMap<>();

    /** A balancer's own word came from itself. */
    boolean hear(Evidence one, long at) {
        return own.computeIfAbsent(one.rank(), rank -> new Known()).take(one, at);
    }

    /** A balancer brings what another said to it; whether it was taken. */
    boolean bring(int bringer, Evidence one, long at) {
        Map<Integer, Known> by = brought.get(one.rank());
        if (by == null) {
            if (brought.size() >= MOST_BROUGHT) {
                return false;
            }
            by = new TreeMap<>();
            brought.put(one.rank(), by);
        }
        if (!by.containsKey(bringer) && by.size() >= MOST_BRINGERS) {
            return false;
        }
        return by.computeIfAbsent(bringer, rank -> new Known()).take(one, at);
    }

    void forget(long now, long forget) {
        own.values().removeIf(known -> now - known.at >= forget);
        brought.values().forEach(by -> by.values().removeIf(known -> now - known.at >= forget));
        brought.values().removeIf(Map::isEmpty);
    }

    boolean isEmpty() {
        return own.isEmpty() && brought.isEmpty();
    }

    /**
     * What all of it comes to: voices that find the cache bad, those that find it well, and of what
     * kind.
     */
    record Sum(int bad, int good, int kinds) {}

    /**
     * A voice is a writer that spoke itself, or one with somebody who brings it; nobody takes part
     * in two voices, as writer or as bringer, so that one liar is one voice whatever it writes in
     * whose name. Word that is older than {@code overtaken} does not count, nor does that of those
     * who do not {@code count}.
     */
    Sum sum(long now, long forget, int boot, long overtaken, IntPredicate count) {
        int bad = 0;
        int good = 0;
        int kinds = 0;
        Set<Integer> used = new HashSet<>();
        for (Map.Entry<Integer, Known> one : own.entrySet()) {
            Known known = one.getValue();
            if (!known.fits(now, forget, boot) || !count.test(one.getKey())) {
                continue;
            }
            if (known.evidence.isBad() && known.at > overtaken) {
                bad++;
                kinds |= known.evidence.kinds();
                used.add(one.getKey());
            } else if (!known.evidence.isBad()) {
                good++;
            }
        }
        for (Map.Entry<Integer, Map<Integer, Known>> one : brought.entrySet()) {
            int writer = one.getKey();
            Known itself = own.get(writer);
            if (used.contains(writer) || !count.test(writer)) {
                continue;
            }
            for (Map.Entry<Integer, Known> by : one.getValue().entrySet()) {
                Known known = by.getValue();
                boolean counts =
                        known.fits(now, forget, boot)
                                && known.at > overtaken
                                && known.evidence.isBad()
                                && (itself == null || !itself.evidence.later(known.evidence))
                                && !used.contains(by.getKey())
                                && count.test(by.getKey());
                if (counts) {
                    used.add(writer);
                    used.add(by.getKey());
                    bad++;
                    kinds |= known.evidence.kinds();
                    break;
                }
            }
        }
        return new Sum(bad, good, kinds);
    }

    /** Those that themselves say that it is bad, or that it is well. */
    List<Integer> speakers(long now, long forget, int boot, boolean bad) {
        List<Integer> found = new ArrayList<>();
        own.forEach(
                (rank, known) -> {
                    if (known.fits(now, forget, boot) && known.evidence.isBad() == bad) {
                        found.add(rank);
                    }
                });
        return found;
    }

    /**
     * Each one's latest word, first-hand or brought, with its age in nanoseconds, by their numbers.
     */
    Map<Evidence, Long> told(long now) {
        Map<Integer, Known> latest = new TreeMap<>(own);
        brought.forEach(
                (writer, by) ->
                        by.values()
                                .forEach(
                                        known ->
                                                latest.merge(
                                                        writer,
                                                        known,
                                                        (a, b) ->
                                                                a.evidence.later(b.evidence)
                                                                                || a.evidence
                                                                                        .equals(
                                                                                                b.evidence)
                                                                        ? a
                                                                        : b)));
        Map<Evidence, Long> all = new LinkedHashMap<>();
        latest.values().forEach(known -> all.put(known.evidence, now - known.at));
        return all;
    }
}
