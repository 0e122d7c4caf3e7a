package frostrelay.stragglers;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Caches that others' operators hold out of use. A balancer tells only holds that its own operators
 * set, with the digest of all that it holds: as long as its stamp has that digest, whoever brings
 * it, its word stands; when the stamp has another, it is over. So a hold needs no renewal, and a
 * release no message of its own. Adopted is what as many hold as it takes to prove a thing: one
 * operator's call at one balancer is that balancer's.
 */
final class SharedHolds {
    /** A word may come before the stamp that it goes with. */
    private static final long AHEAD = 2_000_000_000L;

    private static final int MOST = 1_024;

    private static final class Word {
        long digest;
        long heardAt;

        /** When it was last known to stand. */
        long stoodAt;
    }

    private final StragglerSettings settings;
    private final Peer[] peers;
    private final Map<Long, Map<Integer, Word>> words = new HashMap<>();

    SharedHolds(StragglerSettings settings, Peer[] peers) {
        this.settings = settings;
        this.peers = peers;
    }

    void onHeld(long now, int from, long digest, long cache) {
        if (words.size() >= MOST && !words.containsKey(cache)) {
            return;
        }
        Word word =
                words.computeIfAbsent(cache, id -> new HashMap<>())
                        .computeIfAbsent(from, rank -> new Word());
        word.digest = digest;
        word.heardAt = now;
        word.stoodAt = now;
    }

    /** Those held by so many at least, among {@code ready}. */
    Set<Long> held(long now, int needed, boolean deaf, Set<Long> ready) {
        Set<Long> held = new HashSet<>();
        words.forEach(
                (cache, all) -> {
                    all.entrySet()
                            .removeIf(
                                    one -> isOver(now, peers[one.getKey()], one.getValue(), deaf));
                    if (all.size() >= needed && ready.contains(cache)) {
                        held.add(cache);
                    }
                });
        words.values().removeIf(Map::isEmpty);
        return held;
    }

    private boolean isOver(long now, Peer peer, Word word, boolean deaf) {
        if (deaf || !peer.alive()) {
            // Of one that is silent it stands a while longer: its operators' will does not end with
            // its datagrams.
            return now - word.stoodAt > settings.hearsay();
        }
        word.stoodAt = now;
        return peer.stamp.holds() != word.digest && now - word.heardAt >= AHEAD;
    }

    /** When something may be over. */
    long next(long now) {
        return words.isEmpty() ? Long.MAX_VALUE : now + AHEAD;
    }
}
