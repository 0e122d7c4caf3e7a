package frostrelay.gossip;

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
final class UpdateQueue {
    private static final int MAX_ITEMS = 512;

    /** Rows of one stamp that a datagram has room for, and some more. */
    private static final int MAX_ITEMS_PER_DATAGRAM = 24;

    private static final int TYPE_SHIFT = 40;

    /**
     * One item. For stamps only {@code fingerprint} counts, for caches that is the lower half of
     * the number and {@code incarnation} the whole; for rows the table has the values at the moment
     * of sending.
     */
    static final class Update {
        final int type;
        final int rank;
        final long incarnation;
        final int reportedBy;
        final int fingerprint;

        /** Of a balancer that was not known before: less urgent than a change at one that was. */
        final boolean isNewMember;

        int remainingSends;
        private long order;

        Update(
                int type,
                int rank,
                long incarnation,
                int reportedBy,
                int fingerprint,
                boolean isNewMember,
                int remainingSends) {
            this.type = type;
            this.rank = rank;
            this.incarnation = incarnation;
            this.reportedBy = reportedBy;
            this.fingerprint = fingerprint;
            this.isNewMember = isNewMember;
            this.remainingSends = remainingSends;
        }

        private long key() {
            return key(type, rank, reportedBy, fingerprint);
        }

        /**
         * A life's later word stands for its earlier one; a suspicion stands beside that of another
         * balancer.
         */
        private static long key(int type, int rank, int reportedBy, int fingerprint) {
            return switch (type) {
                case GossipDatagram.APPLIED_VERSIONS ->
                        (long) type << TYPE_SHIFT | fingerprint & 0xffffffffL;
                case GossipDatagram.SUSPECT ->
                        (long) type << TYPE_SHIFT | (long) rank << Short.SIZE | reportedBy;
                case GossipDatagram.MEMBER_ENTRIES -> (long) type << TYPE_SHIFT | rank;
                case GossipDatagram.PAYLOAD -> (long) type << TYPE_SHIFT;
                // By the lower half of the cache's number: two that share it would be told one
                // after the other.
                case GossipDatagram.CACHE_UNAVAILABLE ->
                        (long) type << TYPE_SHIFT | fingerprint & 0xffffffffL;
                default -> (long) GossipDatagram.DEAD << TYPE_SHIFT | rank;
            };
        }
    }

    private static final Comparator<Update> BY_URGENCY =
            (a, b) ->
                    a.isNewMember != b.isNewMember
                            ? a.isNewMember ? 1 : -1
                            : a.remainingSends != b.remainingSends
                                    ? b.remainingSends - a.remainingSends
                                    : Long.compare(b.order, a.order);

    private final Map<Long, Update> items = new LinkedHashMap<>();
    private int claimCount;
    private long nextOrder;

    /** Adds an item in place of what it makes old. */
    void add(Update item) {
        if (item.type == GossipDatagram.MEMBER_ENTRIES && claimCount > 0) {
            items.values()
                    .removeIf(
                            other ->
                                    isClaim(other)
                                            && other.rank == item.rank
                                            && other.incarnation < item.incarnation);
        } else if (isClaim(item) && item.type != GossipDatagram.SUSPECT) {
            items.values()
                    .removeIf(
                            other ->
                                    other.type == GossipDatagram.SUSPECT
                                            && other.rank == item.rank);
        }
        item.order = nextOrder++;
        items.put(item.key(), item);
        if (items.size() > MAX_ITEMS) {
            items.remove(items.values().stream().max(BY_URGENCY).orElseThrow().key());
        }
        if (claimCount > 0 || isClaim(item)) {
            claimCount = (int) items.values().stream().filter(UpdateQueue::isClaim).count();
        }
    }

    private static boolean isClaim(Update item) {
        return item.type == GossipDatagram.SUSPECT
                || item.type == GossipDatagram.DEAD
                || item.type == GossipDatagram.LEFT;
    }

    /** Another told it as well. */
    void recordDuplicate(int type, int rank, int reportedBy, int fingerprint) {
        if (items.isEmpty()) {
            return;
        }
        long key = Update.key(type, rank, reportedBy, fingerprint);
        Update item = items.get(key);
        // A change is told as often as the fleet's size asks; the flood of a start ebbs sooner.
        if (item != null && item.isNewMember && --item.remainingSends <= 0) {
            items.remove(key);
        }
    }

    /**
     * Those to be told first, as many as a datagram may hold, in their order. To be told of sends
     * by {@link #removeExhausted}.
     */
    List<Update> mostUrgent() {
        PriorityQueue<Update> best =
                new PriorityQueue<>(MAX_ITEMS_PER_DATAGRAM + 1, BY_URGENCY.reversed());
        for (Update item : items.values()) {
            if (best.size() < MAX_ITEMS_PER_DATAGRAM || BY_URGENCY.compare(item, best.peek()) < 0) {
                best.add(item);
                if (best.size() > MAX_ITEMS_PER_DATAGRAM) {
                    best.poll();
                }
            }
        }
        List<Update> all = new ArrayList<>(best);
        all.sort(BY_URGENCY);
        return all;
    }

    /** Drops what has been told often enough. */
    void removeExhausted() {
        items.values().removeIf(item -> item.remainingSends <= 0);
    }

    boolean isEmpty() {
        return items.isEmpty();
    }
}
