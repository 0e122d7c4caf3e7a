package frostrelay.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Updates that are still to be sent. Each is sent a number of times, the newest first, so that a
 * change overtakes what is left of earlier ones. Receiving the introduction of a member again from
 * a peer counts as a send, as that peer spreads it too (Demers and others 1987: losing interest by
 * feedback and a counter). Bounded: the least urgent update is dropped, as the entries that fill
 * probes spread the same facts later.
 */
final class UpdateQueue {
    private static final int MAX_UPDATES = 512;

    /** More than the entries that fit into a datagram. */
    private static final int MAX_UPDATES_PER_DATAGRAM = 24;

    private static final Comparator<Update> BY_URGENCY =
            (a, b) -> {
                if (a.isNewMember() != b.isNewMember()) {
                    return a.isNewMember() ? 1 : -1;
                }
                return a.remainingSends != b.remainingSends
                        ? b.remainingSends - a.remainingSends
                        : Long.compare(b.order, a.order);
            };

    private final Map<Long, Update> updates = new LinkedHashMap<>();
    private int claimCount;
    private long nextOrder;

    /** Adds an update and removes those that it supersedes. */
    void add(Update update) {
        if (update instanceof Update.MemberUpdate member) {
            removeClaimsBefore(member);
        } else if (update instanceof Update.ClaimUpdate claim
                && claim.type != SectionType.SUSPECT) {
            removeSuspicions(claim.rank);
        }
        update.order = nextOrder++;
        updates.put(update.key(), update);
        if (updates.size() > MAX_UPDATES) {
            updates.remove(updates.values().stream().max(BY_URGENCY).orElseThrow().key());
        }
        if (claimCount > 0 || isClaim(update)) {
            claimCount = (int) updates.values().stream().filter(UpdateQueue::isClaim).count();
        }
    }

    private void removeClaimsBefore(Update.MemberUpdate member) {
        if (claimCount > 0) {
            updates.values()
                    .removeIf(
                            other ->
                                    other instanceof Update.ClaimUpdate claim
                                            && claim.rank == member.rank
                                            && claim.incarnation < member.incarnation);
        }
    }

    private void removeSuspicions(int rank) {
        updates.values()
                .removeIf(
                        other ->
                                other instanceof Update.ClaimUpdate claim
                                        && claim.type == SectionType.SUSPECT
                                        && claim.rank == rank);
    }

    private static boolean isClaim(Update update) {
        return update instanceof Update.ClaimUpdate;
    }

    /**
     * Records that a peer sent an update that was known already. Only introductions of members lose
     * a send by it: a change is always sent as often as the cluster's size demands.
     *
     * @param key of the update, by the static method of its class
     */
    void recordDuplicate(long key) {
        if (updates.isEmpty()) {
            return;
        }
        Update update = updates.get(key);
        if (update != null && update.isNewMember() && --update.remainingSends <= 0) {
            updates.remove(key);
        }
    }

    /**
     * The most urgent updates, as many as one datagram may hold, the most urgent first. Whoever
     * sends them decrements {@link Update#remainingSends} and calls {@link #removeExhausted}.
     */
    List<Update> mostUrgent() {
        PriorityQueue<Update> best =
                new PriorityQueue<>(MAX_UPDATES_PER_DATAGRAM + 1, BY_URGENCY.reversed());
        for (Update update : updates.values()) {
            if (best.size() < MAX_UPDATES_PER_DATAGRAM
                    || BY_URGENCY.compare(update, best.peek()) < 0) {
                best.add(update);
                if (best.size() > MAX_UPDATES_PER_DATAGRAM) {
                    best.poll();
                }
            }
        }
        List<Update> all = new ArrayList<>(best);
        all.sort(BY_URGENCY);
        return all;
    }

    /** Removes the updates that were sent as often as they should be. */
    void removeExhausted() {
        updates.values().removeIf(update -> update.remainingSends <= 0);
    }

    boolean isEmpty() {
        return updates.isEmpty();
    }
}
