package frostrelay.stragglers;

import frostrelay.peers.State;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Whether those that took a version fail under it: they end out of order soon behind it, or serve
 * worse than before, and those that stayed on an older one do not. Such a version is not followed
 * by itself; operators decide. Once it has stood for the bound a judgement stands until a later
 * version is out or operators say to follow: that costs nothing but that this balancer does not go
 * after it by itself.
 */
final class Verdicts {
    /** A version of one kind. */
    record Version(Kind kind, long number) {}

    private final StragglerSettings settings;
    private final Peer[] peers;
    private final int me;

    /**
     * Who ended young under a version, or says that it serves worse under it, and when that was
     * last known.
     */
    private final Map<Version, Map<Integer, Long>> failing = new HashMap<>();

    /**
     * Since when the evidence is complete: what those say who stayed on the older one may be on its
     * way yet.
     */
    private final Map<Version, Long> suspectSince = new HashMap<>();

    private final Set<Version> bad = new HashSet<>();

    Verdicts(StragglerSettings settings, Peer[] peers, int me) {
        this.settings = settings;
        this.peers = peers;
        this.me = me;
    }

    /**
     * A balancer says of itself, first hand, that it serves worse since it took a version, or does
     * no longer.
     */
    void onFails(long now, int from, Kind kind, long number, boolean fails) {
        Peer peer = peers[from];
        if (!fails) {
            failing.getOrDefault(new Version(kind, number), new HashMap<>()).remove(from);
            return;
        }
        // Only of what it acts on, and not of what cannot be: else one could fill the table.
        if (peer.stamp != null && kind.number(peer.stamp) == number) {
            fails(now, from, new Version(kind, number));
        }
    }

    /**
     * A life has ended out of order: killed, crashed, or another one has begun without a farewell.
     */
    void onEnded(long now, int rank, Peer peer) {
        if (peer.stamp != null && peer.saidAt - peer.configSince <= settings.young()) {
            fails(now, rank, new Version(Kind.CONFIG, peer.stamp.confNumber()));
        }
    }

    private void fails(long now, int rank, Version version) {
        failing.computeIfAbsent(version, fresh -> new HashMap<>()).put(rank, now);
    }

    /**
     * Whether a version is bad, by what others have shown. The dead count among those who are
     * heard: they may have died of it. {@code fails}: this balancer, which stayed on an older one,
     * serves worse as well.
     */
    boolean bad(long now, Kind kind, long number, boolean fails) {
        forget(now);
        Version version = new Version(kind, number);
        if (bad.contains(version)) {
            return true;
        }
        int heard = 0;
        int takers = 0;
        int stayers = 1;
        int failingTakers = 0;
        int failingStayers = fails ? 1 : 0;
        for (int i = 0; i < peers.length; i++) {
            if (i == me || peers[i].stamp == null) {
                continue;
            }
            heard++;
            long theirs = kind.number(peers[i].stamp);
            boolean worse =
                    failing.getOrDefault(new Version(kind, theirs), Map.of()).containsKey(i);
            if (theirs == number) {
                takers++;
                failingTakers += worse ? 1 : 0;
            } else if (theirs < number && peers[i].state == State.ALIVE) {
                stayers++;
                failingStayers += worse ? 1 : 0;
            }
        }
        boolean harmful =
                failingTakers >= (heard >= Stragglers.FEW ? 2 : 1)
                        && 2 * failingTakers >= takers
                        && 4 * failingStayers <= stayers;
        if (!harmful) {
            suspectSince.remove(version);
        } else if (now - suspectSince.computeIfAbsent(version, fresh -> now) >= settings.bound()) {
            bad.removeIf(one -> one.kind == kind);
            bad.add(version);
            suspectSince.remove(version);
        }
        return harmful;
    }

    private void forget(long now) {
        failing.values()
                .forEach(all -> all.values().removeIf(at -> now - at > settings.answerable()));
        failing.values().removeIf(Map::isEmpty);
    }
}
