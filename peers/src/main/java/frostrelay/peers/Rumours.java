package frostrelay.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * News on its way round: each item is sent so many times, those sent least first. Bounded; the item that was told most
 * often makes room, as the rows that fill probes bring it round all the same.
 */
final class Rumours {
    private static final int MOST = 512;

    /** One item. For stamps only {@code ref} counts; for rows the table has the values at the moment of sending. */
    static final class Item {
        final int type;
        final int rank;
        final long incarnation;
        final int by;
        final int ref;
        int left;

        Item(int type, int rank, long incarnation, int by, int ref, int left) {
            this.type = type;
            this.rank = rank;
            this.incarnation = incarnation;
            this.by = by;
            this.ref = ref;
            this.left = left;
        }

        /** A life's later word stands for its earlier one; a suspicion stands beside that of another balancer. */
        private boolean replaces(Item other) {
            if (type == Datagram.STAMP || other.type == Datagram.STAMP) {
                return type == other.type && other.ref == ref;
            }
            if (other.rank != rank) {
                return false;
            }
            return switch (type) {
                case Datagram.ROWS -> other.type == Datagram.ROWS || other.incarnation < incarnation;
                case Datagram.SUSPECT -> other.type == Datagram.SUSPECT
                        && (other.by == by || other.incarnation < incarnation);
                default -> other.type != Datagram.ROWS;
            };
        }
    }

    private final List<Item> items = new ArrayList<>();

    /** Adds an item in place of what it makes old. */
    void add(Item item) {
        items.removeIf(item::replaces);
        if (items.size() >= MOST) {
            items.remove(items.stream().min(Comparator.comparingInt(one -> one.left)).orElseThrow());
        }
        items.add(item);
    }

    /** All of them, those with most sends left first. To be told of sends by {@link #sent}. */
    List<Item> hottest() {
        if (items.size() > 1) {
            items.sort(Comparator.comparingInt(item -> -item.left));
        }
        return items;
    }

    /** Drops what has been told often enough. */
    void sent() {
        items.removeIf(item -> item.left <= 0);
    }

    boolean isEmpty() {
        return items.isEmpty();
    }
}
