package frostrelay.rig.client;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A plain front that deals requests out over balancers in turn; one that could not be reached is
 * passed over for a while. Used from one event loop; {@link #stopped} may come from any thread.
 */
public final class Front {
    private static final long PASSED_OVER = 1_000_000_000L;

    /** A front notices so long after it that a balancer was asked to end. */
    private static final long NOTICED = 300_000_000L;

    /**
     * The end of a connection may be seen so much before the kill was due that caused it: the two
     * are on different threads.
     */
    private static final long KILL_SEEN_EARLY = 20_000_000L;

    /**
     * What comes later than this after a balancer was asked to end must be answered before it is
     * killed.
     */
    private static final long EXCUSED = 700_000_000L;

    /** A balancer as clients see it. */
    static final class Balancer {
        final InetSocketAddress address;
        private long passedUntil;

        /** It was killed or is being restarted on purpose: what it held is nobody's fault. */
        private volatile long stoppedAt = Long.MIN_VALUE;

        /**
         * When it was asked to end, and when it is killed after that; {@link Long#MAX_VALUE} while
         * it is not.
         */
        private volatile long terminatedAt = Long.MAX_VALUE;

        private volatile long killedAt = Long.MAX_VALUE;

        Balancer(InetSocketAddress address) {
            this.address = address;
        }

        /** Whether new connections go elsewhere, as it was asked to end. */
        boolean isLeft(long now) {
            return now >= terminatedAt && now - terminatedAt > NOTICED;
        }

        /**
         * Whether a request that was sent then and is unanswered now was cut off by a kill that
         * came early enough for that.
         */
        boolean excuses(long sentAt, long now) {
            return killedAt != Long.MAX_VALUE
                    && now >= killedAt - KILL_SEEN_EARLY
                    && sentAt < terminatedAt + EXCUSED;
        }

        /** Where it is in its shutdown, in words. */
        String state(long now) {
            return terminatedAt == Long.MAX_VALUE
                    ? address + " serves"
                    : address
                            + " was asked to end "
                            + (now - terminatedAt) / 1_000_000
                            + " ms before";
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
            if (balancer.passedUntil <= now && !balancer.isLeft(now)) {
                return balancer;
            }
        }
        return balancers.get(turn++ % balancers.size());
    }

    void unreachable(Balancer balancer, long now) {
        balancer.passedUntil = now + PASSED_OVER;
    }

    /** Any balancer, also one that is ending: open connections to it are still used. */
    Balancer any() {
        return balancers.get(turn++ % balancers.size());
    }

    /** A balancer was asked to end at that moment. */
    public void terminated(int place, long at) {
        balancers.get(place).terminatedAt = at;
    }

    /** A balancer that was asked to end is killed at that moment. */
    public void killed(int place, long at) {
        balancers.get(place).killedAt = at;
    }

    /** A balancer that was asked to end is started again. */
    public void started(int place) {
        balancers.get(place).terminatedAt = Long.MAX_VALUE;
        balancers.get(place).killedAt = Long.MAX_VALUE;
    }

    /** A balancer is killed now, on purpose. */
    public void stopped(int place) {
        balancers.get(place).stoppedAt = System.nanoTime();
    }
}
