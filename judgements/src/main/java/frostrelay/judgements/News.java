package frostrelay.judgements;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Evidence that others are to hear, and whom it was told: each one once in large tiers, so that
 * none is wasted on who knows it, and twice in small ones. The newest goes first; what is too old
 * goes nowhere. For one thread.
 */
final class News {
    /**
     * In tiers of so few others everybody is told straight, twice: at 30% loss nine of a hundred
     * miss both, and probes follow.
     */
    static final int FEW = 16;

    private static final int COPIES = 2;
    private static final int MOST = 256;

    /** What is told: evidence of a writer on a cache. */
    private record Key(long cache, int writer) {}

    private static final class Item {
        Evidence evidence;
        long at;
        int left;
        final Map<Integer, Integer> told = new HashMap<>();
    }

    private final int me;
    private final boolean few;
    private final int others;
    private final int sends;
    private final int passes;
    private final long forget;
    private final Map<Key, Item> items = new LinkedHashMap<>();

    /** What was handed out last. */
    private final Map<Key, Item> batch = new LinkedHashMap<>();

    /**
     * {@code sends}: of own evidence; {@code passes}: of what another said, in tiers that are not
     * small.
     */
    News(int me, int count, int sends, int passes, long forget) {
        this.me = me;
        others = count - 1;
        few = others <= FEW;
        this.sends = sends;
        this.passes = passes;
        this.forget = forget;
    }

    boolean isFew() {
        return few;
    }

    /** Own evidence, or another's in its own words, is news. */
    void add(long cache, Evidence one, long at) {
        boolean mine = one.rank() == me;
        if (few && !mine) {
            return;
        }
        Key key = new Key(cache, one.rank());
        items.remove(key);
        if (items.size() >= MOST) {
            items.remove(items.keySet().iterator().next());
        }
        Item item = new Item();
        item.evidence = one;
        item.at = at;
        item.left = few ? COPIES * others : mine ? sends : passes;
        items.put(key, item);
    }

    /** What another said of a cache need not be passed on any more: enough say so. */
    void drop(long cache) {
        items.keySet().removeIf(key -> key.cache == cache && key.writer != me);
    }

    boolean isEmpty() {
        return items.isEmpty();
    }

    /** Whether anything is left that this one was not told as often as it should be. */
    boolean has(int to) {
        return items.values().stream().anyMatch(item -> due(item, to));
    }

    private boolean due(Item item, int to) {
        return item.evidence.rank() != to
                && item.left > 0
                && item.told.getOrDefault(to, 0) < (few ? COPIES : 1);
    }

    /** What was handed out last for that one did not go out: it is to be told yet. */
    void missed(int to) {
        batch.forEach(
                (key, item) -> {
                    item.told.merge(to, -1, Integer::sum);
                    item.left++;
                    items.putIfAbsent(key, item);
                });
        batch.clear();
    }

    /** The newest that fits, own ones or what others said, marked as told to that one. */
    ByteBuffer next(long now, int to, int room, boolean own) {
        batch.clear();
        int bytes = own ? Evidence.BYTES : Evidence.BROUGHT_BYTES;
        int fit = room / bytes;
        if (fit <= 0) {
            return ByteBuffer.allocate(0);
        }
        ByteBuffer out = ByteBuffer.allocate(Math.min(fit, items.size()) * bytes);
        List<Map.Entry<Key, Item>> all = new ArrayList<>(items.entrySet());
        for (int i = all.size() - 1; i >= 0 && out.remaining() >= bytes; i--) {
            Item item = all.get(i).getValue();
            Key key = all.get(i).getKey();
            if (now - item.at >= forget) {
                items.remove(key);
            } else if (own == (key.writer == me) && due(item, to)) {
                item.evidence.write(out, key.cache, now - item.at, !own);
                item.told.merge(to, 1, Integer::sum);
                batch.put(key, item);
                if (--item.left <= 0) {
                    items.remove(key);
                }
            }
        }
        return out.flip();
    }
}
