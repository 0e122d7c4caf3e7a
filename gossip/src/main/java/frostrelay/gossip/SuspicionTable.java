package frostrelay.gossip;

import java.util.ArrayList;
import java.util.List;

/**
 * A table of the suspected members, each with the time at which it is declared dead unless it
 * refutes. As in Lifeguard, suspicions that several members report independently expire sooner,
 * because it is unlikely that all reporters are wrong.
 */
final class SuspicionTable {
    /** Number of reporters at which the time to refute is reduced to its minimum. */
    private static final int MAX_REPORTERS = 3;

    /** The time to refute with one reporter, as a multiple of the minimum. */
    private static final int UNCONFIRMED_FACTOR = 3;

    /** The suspicion of one member. */
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

        /** Records a reporter; returns false if it is already known or the maximum is reached. */
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

    /** Returns the suspicion of a member; null if it is not suspected. */
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

    /** Restarts the time to refute of every suspicion at {@code now}. */
    void restart(long now) {
        for (Suspicion suspicion : suspicions) {
            suspicion.sinceNanos = now;
        }
    }

    /** Returns the next expiry; {@link GossipNode#NEVER_NANOS} if no member is suspected. */
    long nextExpiryAtNanos() {
        long nextNanos = GossipNode.NEVER_NANOS;
        for (Suspicion suspicion : suspicions) {
            nextNanos = Math.min(nextNanos, expiresAtNanos(suspicion));
        }
        return nextNanos;
    }

    /** Returns a copy of the suspicions, so that they may be removed during iteration. */
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
