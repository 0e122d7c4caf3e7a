package frostrelay.testbed.client;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A frontend that distributes requests over balancers in round-robin order and skips an unreachable
 * balancer for 1 s. Used from one event loop; {@link #onStopped} may be called from any thread.
 */
public final class RoundRobinFrontend {
    private static final long UNREACHABLE_BACKOFF_NANOS = 1_000_000_000L;

    /**
     * The time from a shutdown request to a balancer until the frontend opens no further
     * connections to it.
     */
    private static final long SHUTDOWN_NOTICE_NANOS = 300_000_000L;

    /**
     * A connection may be seen to end this long before the recorded kill that caused it, because
     * they are on different threads.
     */
    private static final long KILL_TOLERANCE_NANOS = 20_000_000L;

    /**
     * Requests sent later than this after the shutdown request must be answered before the balancer
     * is killed.
     */
    private static final long KILL_EXCUSE_NANOS = 700_000_000L;

    /** The state of a balancer from the clients' view. */
    static final class Balancer {
        final InetSocketAddress address;
        private long avoidedUntilNanos;

        /**
         * The time of the last intentional kill or restart; the loss of open requests is then no
         * fault of the balancer.
         */
        private volatile long stoppedAtNanos = Long.MIN_VALUE;

        /**
         * The times of the shutdown request and of the kill that follows it; {@link Long#MAX_VALUE}
         * if there is none.
         */
        private volatile long terminatedAtNanos = Long.MAX_VALUE;

        private volatile long killedAtNanos = Long.MAX_VALUE;

        Balancer(InetSocketAddress address) {
            this.address = address;
        }

        /** Returns whether new connections avoid this balancer because it is shutting down. */
        boolean isAvoided(long now) {
            return now >= terminatedAtNanos && now - terminatedAtNanos > SHUTDOWN_NOTICE_NANOS;
        }

        /**
         * Returns whether a kill excuses the missing response: it has happened, and the request was
         * sent early enough in the shutdown.
         */
        boolean excusesLoss(long sentAt, long now) {
            return killedAtNanos != Long.MAX_VALUE
                    && now >= killedAtNanos - KILL_TOLERANCE_NANOS
                    && sentAt < terminatedAtNanos + KILL_EXCUSE_NANOS;
        }

        /** Describes the shutdown state for messages. */
        String describeState(long now) {
            return terminatedAtNanos == Long.MAX_VALUE
                    ? address + " is serving"
                    : address
                            + " received a shutdown request "
                            + (now - terminatedAtNanos) / 1_000_000
                            + " ms before";
        }

        /** Returns whether the balancer was stopped at or after a time. */
        boolean wasStoppedSince(long since) {
            return stoppedAtNanos >= since;
        }
    }

    private final List<Balancer> balancers = new ArrayList<>();
    private int nextIndex;

    /** Creates a frontend for at least one balancer. */
    public RoundRobinFrontend(List<InetSocketAddress> addresses) {
        addresses.forEach(address -> balancers.add(new Balancer(address)));
    }

    /** Returns the next available balancer, or the next of all if none is available. */
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

    /**
     * Returns the next balancer even if it is shutting down, because open connections to it are
     * still used.
     */
    Balancer nextOfAll() {
        return balancers.get(nextIndex++ % balancers.size());
    }

    /** Records the time of a shutdown request to a balancer. */
    public void onTerminated(int index, long at) {
        balancers.get(index).terminatedAtNanos = at;
    }

    /** Records the time at which a balancer is killed after a shutdown request. */
    public void onKilled(int index, long at) {
        balancers.get(index).killedAtNanos = at;
    }

    /** Clears the shutdown state of a balancer that is started again. */
    public void onStarted(int index) {
        balancers.get(index).terminatedAtNanos = Long.MAX_VALUE;
        balancers.get(index).killedAtNanos = Long.MAX_VALUE;
    }

    /** Records that a balancer is intentionally killed now. */
    public void onStopped(int index) {
        balancers.get(index).stoppedAtNanos = System.nanoTime();
    }
}
