package frostrelay.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * A bounded queue of updates that are still to be sent. Each update is sent a number of times, the
 * newest first, so that a change takes precedence over the remaining sends of earlier ones.
 * Receiving the introduction of a member again from a peer counts as a send, as that peer
 * disseminates it too (rumor mongering with feedback and a counter, Demers et al. 1987). When the
 * queue is full, the least urgent update is dropped; the member entries that fill probes later
 * carry the same information.
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
     * Records that a peer sent an update that was already known. This reduces the remaining sends
     * only of introductions of members; a change is always sent as often as the cluster's size
     * requires.
     *
     * @param key the key of the update, from the static {@code key} method of its class
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
     * Returns as many updates as one datagram may hold, the most urgent first. The caller
     * decrements {@link Update#remainingSends} of those it sends and then calls {@link
     * #removeExhausted}.
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

    /** Removes the updates that have no sends remaining. */
    void removeExhausted() {
        updates.values().removeIf(update -> update.remainingSends <= 0);
    }

    boolean isEmpty() {
        return updates.isEmpty();
    }
}
