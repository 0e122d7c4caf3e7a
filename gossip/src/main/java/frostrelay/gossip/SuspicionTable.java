package frostrelay.gossip;

import java.util.ArrayList;
import java.util.List;

/**
 * The members under suspicion, each with the time at which it is declared dead unless it refutes.
 * Suspicions that several members report independently expire sooner, as Lifeguard does: it is
 * unlikely that all of the reporters are at fault.
 */
final class SuspicionTable {
    /** So many reporters shorten the time to refute to its minimum. */
    private static final int MAX_REPORTERS = 3;

    /** The time to refute with one reporter, as a multiple of the minimum. */
    private static final int UNCONFIRMED_FACTOR = 3;

    /** One member's suspicion. */
    static final class Suspicion {
        final int rank;
        final long incarnation;
        private long sinceNanos;
        private final List<Integer> reporters = new ArrayList<>(MAX_REPORTERS);

        private Suspicion(int rank, long incarnation, long sinceNanos) {
            this.rank = rank;
            this.incarnation = incarnation;
            this.sinceNanos = sinceNanos;
        }

        /** Records a reporter; false where it is known or there are enough of them. */
        boolean addReporter(int reportedBy) {
            if (reporters.size() >= MAX_REPORTERS || reporters.contains(reportedBy)) {
                return false;
            }
            reporters.add(reportedBy);
            return true;
        }
    }

    private final LocalHealth localHealth;
    private final double minNanos;
    private final List<Suspicion> suspicions = new ArrayList<>();

    SuspicionTable(GossipSettings settings, int memberCount, LocalHealth localHealth) {
        this.localHealth = localHealth;
        minNanos = settings.suspicionTimeoutNanos() * Math.max(1, Math.log10(memberCount));
    }

    /** The suspicion of a member; null where it is not suspected. */
    Suspicion find(int rank) {
        for (Suspicion suspicion : suspicions) {
            if (suspicion.rank == rank) {
                return suspicion;
            }
        }
        return null;
    }

    Suspicion add(long now, int rank, long incarnation) {
        Suspicion suspicion = new Suspicion(rank, incarnation, now);
        suspicions.add(suspicion);
        return suspicion;
    }

    void remove(int rank) {
        suspicions.removeIf(suspicion -> suspicion.rank == rank);
    }

    /** Lets every suspicion last as long as if it began now. */
    void restart(long now) {
        for (Suspicion suspicion : suspicions) {
            suspicion.sinceNanos = now;
        }
    }

    /** When the first suspicion expires; {@link GossipNode#NEVER_NANOS} without any. */
    long nextExpiryAtNanos() {
        long nextNanos = GossipNode.NEVER_NANOS;
        for (Suspicion suspicion : suspicions) {
            nextNanos = Math.min(nextNanos, expiresAtNanos(suspicion));
        }
        return nextNanos;
    }

    /** A copy of the suspicions, which may be removed while it is iterated. */
    List<Suspicion> snapshot() {
        return List.copyOf(suspicions);
    }

    boolean hasExpired(long now, Suspicion suspicion) {
        return now >= expiresAtNanos(suspicion);
    }

    private long expiresAtNanos(Suspicion suspicion) {
        double maxNanos = minNanos * UNCONFIRMED_FACTOR * localHealth.timeoutMultiplier();
        double confirmedFraction = Math.log(suspicion.reporters.size()) / Math.log(MAX_REPORTERS);
        return suspicion.sinceNanos
                + (long) (maxNanos - (maxNanos - minNanos) * Math.min(1, confirmedFraction));
    }
}
