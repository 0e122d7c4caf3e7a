package frostrelay.rig.client;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A plain front that deals requests out over balancers in turn; one that could not be reached is passed over for a
 * while. Used from one event loop; {@link #stopped} may come from any thread.
 */
public final class Front {
    private static final long PASSED_OVER = 1_000_000_000L;

    /** A balancer as clients see it. */
    static final class Balancer {
        final InetSocketAddress address;
        private long passedUntil;
        /** It was killed or is being restarted on purpose: what it held is nobody's fault. */
        private volatile long stoppedAt = Long.MIN_VALUE;

        Balancer(InetSocketAddress address) {
            this.address = address;
        }

        /** Whether it was stopped since then. */
        boolean stoppedSince(long since) {
            return stoppedAt >= since;
        }
    }

    private final List<Balancer> balancers = new ArrayList<>();
    private int turn;

    /** {@code addresses}: of all balancers, at least one. */
    public Front(List<InetSocketAddress> addresses) {
        addresses.forEach(address -> balancers.add(new Balancer(address)));
    }

    /** The next in turn. */
    Balancer next(long now) {
        for (int i = 0; i < balancers.size(); i++) {
            Balancer balancer = balancers.get(turn++ % balancers.size());
            if (balancer.passedUntil <= now) {
                return balancer;
            }
        }
        return balancers.get(turn++ % balancers.size());
    }

    void unreachable(Balancer balancer, long now) {
        balancer.passedUntil = now + PASSED_OVER;
    }

    /** A balancer is killed now, on purpose. */
    public void stopped(int place) {
        balancers.get(place).stoppedAt = System.nanoTime();
    }
}
