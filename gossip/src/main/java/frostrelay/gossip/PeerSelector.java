package frostrelay.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** A random order of all peers, used for the order of probes and for random selection. */
final class PeerSelector {
    private final MembershipTable members;
    private final SplittableRandom random;
    private final int[] order;

    PeerSelector(MembershipTable members, int localRank, SplittableRandom random) {
        this.members = members;
        this.random = random;
        order = new int[members.count - 1];
        for (int i = 0; i < order.length; i++) {
            order[i] = i < localRank ? i : i + 1;
        }
        shuffle();
    }

    /** Replaces the order by a new random one. */
    void shuffle() {
        for (int i = order.length - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            int swap = order[i];
            order[i] = order[other];
            order[other] = swap;
        }
    }

    /** Returns the number of peers, including those that are dead or have left. */
    int count() {
        return order.length;
    }

    /** Returns the rank of the peer at an index of the current order. */
    int rankAt(int index) {
        return order[index];
    }

    /**
     * Picks up to {@code maxCount} random peers that are not known to have ended.
     *
     * @param excluded the rank of a peer that must not be picked, or {@link GossipDatagram#NO_RANK}
     */
    List<Integer> pick(int maxCount, int excluded) {
        List<Integer> picked = new ArrayList<>(maxCount);
        int start = order.length == 0 ? 0 : random.nextInt(order.length);
        // The order changes only after all peers were probed; start and stride vary each pick.
        int stride = order.length < 3 ? 1 : 1 + random.nextInt(order.length - 1);
        while (greatestCommonDivisor(stride, order.length) > 1) {
            stride = stride % (order.length - 1) + 1;
        }
        for (int i = 0; i < order.length && picked.size() < maxCount; i++) {
            int rank = order[(int) ((start + (long) i * stride) % order.length)];
            MemberState state = members.state(rank);
            if (rank != excluded && (state.isParticipating() || state == MemberState.UNKNOWN)) {
                picked.add(rank);
            }
        }
        return picked;
    }

    private static int greatestCommonDivisor(int a, int b) {
        return b == 0 ? a : greatestCommonDivisor(b, a % b);
    }
}
