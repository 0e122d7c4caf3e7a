package frostrelay.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * News on its way round. Each item is sent so many times, the newest first: a change overtakes what
 * is left of an older flood. Hearing a greeting again from others counts as a send, since whoever
 * told it tells others too (Demers and others 1987: losing interest by feedback and a counter).
 * Bounded; the coldest item makes room, as the rows that fill probes bring it round all the same.
 */
final class Rumours {
    private static final int MOST = 512;

    /** Rows of one stamp that a datagram has room for, and some more. */
    private static final int TOLD = 24;

    private static final int TYPE_SHIFT = 40;

    /**
     * One item. For stamps only {@code ref} counts, for caches that is the lower half of the number
     * and {@code incarnation} the whole; for rows the table has the values at the moment of
     * sending.
     */
    static final class Item {
        final int type;
        final int rank;
        final long incarnation;
        final int by;
        final int ref;

        /** Of a balancer that was not known before: less urgent than a change at one that was. */
        final boolean greeting;

        int left;
        private long order;

        Item(int type, int rank, long incarnation, int by, int ref, boolean greeting, int left) {
            this.type = type;
            this.rank = rank;
            this.incarnation = incarnation;
            this.by = by;
            this.ref = ref;
            this.greeting = greeting;
            this.left = left;
        }

        private long key() {
            return key(type, rank, by, ref);
        }

        /**
         * A life's later word stands for its earlier one; a suspicion stands beside that of another
         * balancer.
         */
        private static long key(int type, int rank, int by, int ref) {
            return switch (type) {
                case Datagram.STAMP -> (long) type << TYPE_SHIFT | ref & 0xffffffffL;
                case Datagram.SUSPECT -> (long) type << TYPE_SHIFT | (long) rank << Short.SIZE | by;
                case Datagram.ROWS -> (long) type << TYPE_SHIFT | rank;
                case Datagram.CARGO -> (long) type << TYPE_SHIFT;
                // By the lower half of the cache's number: two that share it would be told one
                // after the other.
                case Datagram.AWAY -> (long) type << TYPE_SHIFT | ref & 0xffffffffL;
                default -> (long) Datagram.GONE << TYPE_SHIFT | rank;
            };
        }
    }

    private static final Comparator<Item> HOTTEST =
            (a, b) ->
                    a.greeting != b.greeting
                            ? a.greeting ? 1 : -1
                            : a.left != b.left ? b.left - a.left : Long.compare(b.order, a.order);

    private final Map<Long, Item> items = new LinkedHashMap<>();
    private int claims;
    private long added;

    /** Adds an item in place of what it makes old. */
    void add(Item item) {
        if (item.type == Datagram.ROWS && claims > 0) {
            items.values()
                    .removeIf(
                            other ->
                                    isClaim(other)
                                            && other.rank == item.rank
                                            && other.incarnation < item.incarnation);
        } else if (isClaim(item) && item.type != Datagram.SUSPECT) {
            items.values()
                    .removeIf(other -> other.type == Datagram.SUSPECT && other.rank == item.rank);
        }
        item.order = added++;
        items.put(item.key(), item);
        if (items.size() > MOST) {
            items.remove(items.values().stream().max(HOTTEST).orElseThrow().key());
        }
        if (claims > 0 || isClaim(item)) {
            claims = (int) items.values().stream().filter(Rumours::isClaim).count();
        }
    }

    private static boolean isClaim(Item item) {
        return item.type == Datagram.SUSPECT
                || item.type == Datagram.GONE
                || item.type == Datagram.LEFT;
    }

    /** Another told it as well. */
    void heardAgain(int type, int rank, int by, int ref) {
        if (items.isEmpty()) {
            return;
        }
        long key = Item.key(type, rank, by, ref);
        Item item = items.get(key);
        // A change is told as often as the fleet's size asks; the flood of a start ebbs sooner.
        if (item != null && item.greeting && --item.left <= 0) {
            items.remove(key);
        }
    }

    /**
     * Those to be told first, as many as a datagram may hold, in their order. To be told of sends
     * by {@link #sent}.
     */
    List<Item> hottest() {
        PriorityQueue<Item> best = new PriorityQueue<>(TOLD + 1, HOTTEST.reversed());
        for (Item item : items.values()) {
            if (best.size() < TOLD || HOTTEST.compare(item, best.peek()) < 0) {
                best.add(item);
                if (best.size() > TOLD) {
                    best.poll();
                }
            }
        }
        List<Item> all = new ArrayList<>(best);
        all.sort(HOTTEST);
        return all;
    }

    /** Drops what has been told often enough. */
    void sent() {
        items.values().removeIf(item -> item.left <= 0);
    }

    boolean isEmpty() {
        return items.isEmpty();
    }
}
