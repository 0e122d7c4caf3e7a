package frostrelay.testbed.client;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A plain front that deals requests out over balancers in turn; one that could not be reached is
 * passed over for a while. Used from one event loop; {@link #onStopped} may come from any thread.
 */
public final class RoundRobinFrontend {
    private static final long UNREACHABLE_BACKOFF_NANOS = 1_000_000_000L;

    /** A front notices so long after it that a balancer was asked to end. */
    private static final long SHUTDOWN_NOTICE_NANOS = 300_000_000L;

    /**
     * The end of a connection may be seen so much before the kill was due that caused it: the two
     * are on different threads.
     */
    private static final long KILL_TOLERANCE_NANOS = 20_000_000L;

    /**
     * What comes later than this after a balancer was asked to end must be answered before it is
     * killed.
     */
    private static final long KILL_EXCUSE_NANOS = 700_000_000L;

    /** A balancer as clients see it. */
    static final class Balancer {
        final InetSocketAddress address;
        private long avoidedUntilNanos;

        /** It was killed or is being restarted on purpose: what it held is nobody's fault. */
        private volatile long stoppedAtNanos = Long.MIN_VALUE;

        /**
         * When it was asked to end, and when it is killed after that; {@link Long#MAX_VALUE} while
         * it is not.
         */
        private volatile long terminatedAtNanos = Long.MAX_VALUE;

        private volatile long killedAtNanos = Long.MAX_VALUE;

        Balancer(InetSocketAddress address) {
            this.address = address;
        }

        /** Whether new connections go elsewhere, as it was asked to end. */
        boolean isAvoided(long now) {
            return now >= terminatedAtNanos && now - terminatedAtNanos > SHUTDOWN_NOTICE_NANOS;
        }

        /**
         * Whether a request that was sent then and is unanswered now was cut off by a kill that
         * came early enough for that.
         */
        boolean excusesLoss(long sentAt, long now) {
            return killedAtNanos != Long.MAX_VALUE
                    && now >= killedAtNanos - KILL_TOLERANCE_NANOS
                    && sentAt < terminatedAtNanos + KILL_EXCUSE_NANOS;
        }

        /** Where it is in its shutdown, in words. */
        String describeState(long now) {
            return terminatedAtNanos == Long.MAX_VALUE
                    ? address + " serves"
                    : address
                            + " was asked to end "
                            + (now - terminatedAtNanos) / 1_000_000
                            + " ms before";
        }

        /** Whether it was stopped since then. */
        boolean wasStoppedSince(long since) {
            return stoppedAtNanos >= since;
        }
    }

    private final List<Balancer> balancers = new ArrayList<>();
    private int nextIndex;

    /** {@code addresses}: of all balancers, at least one. */
    public RoundRobinFrontend(List<InetSocketAddress> addresses) {
        addresses.forEach(address -> balancers.add(new Balancer(address)));
    }

    /** The next in turn. */
    Balancer nextAvailable(long now) {
        for (int i = 0; i < balancers.size(); i++) {
            Balancer balancer = balancers.get(nextIndex++ % balancers.size());
            if (balancer.avoidedUntilNanos <= now && !balancer.isAvoided(now)) {
                return balancer;
            }
        }
        return balancers.get(nextIndex++ % balancers.size());
    }

    void onUnreachable(Balancer balancer, long now) {
        balancer.avoidedUntilNanos = now + UNREACHABLE_BACKOFF_NANOS;
    }

    /** Any balancer, also one that is ending: open connections to it are still used. */
    Balancer nextOfAll() {
        return balancers.get(nextIndex++ % balancers.size());
    }

    /** A balancer was asked to end at that moment. */
    public void onTerminated(int index, long at) {
        balancers.get(index).terminatedAtNanos = at;
    }

    /** A balancer that was asked to end is killed at that moment. */
    public void onKilled(int index, long at) {
        balancers.get(index).killedAtNanos = at;
    }

    /** A balancer that was asked to end is started again. */
    public void onStarted(int index) {
        balancers.get(index).terminatedAtNanos = Long.MAX_VALUE;
        balancers.get(index).killedAtNanos = Long.MAX_VALUE;
    }

    /** A balancer is killed now, on purpose. */
    public void onStopped(int index) {
        balancers.get(index).stoppedAtNanos = System.nanoTime();
    }
}
