package frostrelay.stragglers;

import frostrelay.peers.Stamp;
import frostrelay.peers.State;

/**
 * What one look over all others shows: in large tiers it is taken for each change of each of them,
 * so there is one pass.
 */
final class Survey {
    private int alive;

    /** Somebody is alive of whom it is known what he acts on. */
    boolean anybody;

    boolean listConflict;
    boolean configConflict;
    private long firstList = Long.MIN_VALUE;
    private long secondList = Long.MIN_VALUE;
    private long firstConfig = Long.MIN_VALUE;
    private long secondConfig = Long.MIN_VALUE;

    void look(Peer[] peers, int me, Stamp own) {
        alive = 0;
        anybody = false;
        listConflict = false;
        configConflict = false;
        firstList = Long.MIN_VALUE;
        secondList = Long.MIN_VALUE;
        firstConfig = Long.MIN_VALUE;
        secondConfig = Long.MIN_VALUE;
        for (int i = 0; i < peers.length; i++) {
            Peer peer = peers[i];
            if (i == me || peer.state != State.ALIVE) {
                continue;
            }
            alive++;
            if (peer.stamp == null) {
                continue;
            }
            anybody = true;
            listConflict |= Order.list(own, peer.stamp) == Order.CONFLICT;
            configConflict |= Order.config(own, peer.stamp) == Order.CONFLICT;
            long list = peer.stamp.listRev();
            secondList = Math.max(secondList, Math.min(firstList, list));
            firstList = Math.max(firstList, list);
            long config = peer.stamp.confNumber();
            if (config != Stamp.NO_NUMBER) {
                secondConfig = Math.max(secondConfig, Math.min(firstConfig, config));
                firstConfig = Math.max(firstConfig, config);
            }
        }
    }

    /** So many have to say a thing to prove it. */
    int needed() {
        return alive >= Stragglers.FEW ? 2 : 1;
    }

    /**
     * The newest version that so many act on as it takes to prove one; {@link Long#MIN_VALUE} where
     * none is.
     */
    long proved(Kind kind) {
        boolean two = needed() == 2;
        return kind == Kind.LIST ? two ? secondList : firstList : two ? secondConfig : firstConfig;
    }
}
