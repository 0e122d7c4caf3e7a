package frostrelay.policy;

import java.util.List;
import java.util.Set;

/**
 * The interface of the decision module: what goes in (settings and events), what comes out
 * (actions).
 *
 * <p>Threading: a {@link Router} belongs to one thread at a time; it starts none and takes no
 * locks. Clock: every event carries the time in nanoseconds from any fixed origin, never falling;
 * the module reads no clock of its own. Ownership: values handed in are immutable and may be kept
 * by the module; actions are called back during an event, in the order in which they must be
 * carried out.
 */
public final class Api {
    private Api() {}

    /** How often a request of a class may take effect. */
    public enum Effect {
        /** Repeats do no harm. */
        IDEMPOTENT,
        /** Servers of one group drop repeats for a while. */
        IDEMPOTENCY_KEY,
        /** Must never run twice. */
        NOT_IDEMPOTENT
    }

    /** The servers that drop repeats of a {@link Effect#IDEMPOTENCY_KEY} request for one another. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** What the list says of a server. */
    public enum State {
        READY,
        DRAINING,
        REMOVED
    }

    /**
     * How a list is to be applied: changed entries, all entries, the last held list, or a failed
     * call.
     */
    public enum ListMode {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** How an attempt ended. */
    public enum Reason {
        OK(false),
        ERROR(false),
        REJECTED(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        SUPERSEDED(true),
        MISS(true);

        /** True if the attempt provably never ran. */
        public final boolean neverRan;

        Reason(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** True if the attempt may still be running at its server. */
        public boolean mayStillRun() {
            return this == TIMEOUT || this == RESET || this == CANCELLED;
        }

        /** True if the server did its part. */
        public boolean answered() {
            return this == OK || this == MISS;
        }
    }

    /**
     * A request class; times in nanoseconds. {@code serializedByKey}: requests with one key run one at a
     * time.
     */
    public record RequestClass(
            long latencyObjectiveNanos,
            double objectiveStretchFactor,
            long deadlineNanos,
            double priorityWeight,
            double latePriorityWeight,
            Effect idempotency,
            Group deduplicationScope,
            long deduplicationWindowNanos,
            boolean stream,
            boolean serializedByKey) {}

    /**
     * A tenant: requests a second within its share over all balancers, and its fraction of service.
     */
    public record Tenant(double quotaPerSecond, double serviceFraction) {}

    /** Where the values of a load report stand, -1 if absent. */
    public record ReportLayout(int inFlight, int queue, int utilization) {}

    /**
     * Further attempts allowed within any span: {@code minRetries} and {@code retryRatio} of the requests
     * taken.
     */
    public record Budget(double minRetries, double retryRatio, long windowNanos) {}

    /**
     * What a balancer is told at its start; times in nanoseconds. {@code keyQuarantineNanos}: how long a key
     * in order rests after an attempt that may still be running. {@code retryBudget}: null where there
     * is none.
     */
    public record Settings(
            List<RequestClass> classes,
            List<Tenant> tenants,
            int zone,
            int instanceIndex,
            int instanceCount,
            boolean lookAside,
            int originKind,
            boolean subscribe,
            int maxAttempts,
            boolean hedgingAllowed,
            boolean cancellationAllowed,
            long connectTimeoutNanos,
            boolean retryAfterSupported,
            long maxRetryAfterNanos,
            long drainGraceNanos,
            long pollIntervalNanos,
            double slowStartInitialFraction,
            long slowStartNanos,
            double overloadMultiple,
            long overloadWindowNanos,
            double overQuotaWeight,
            long keyQuarantineNanos,
            Budget retryBudget,
            ReportLayout loadReportLayout) {}

    /** An entry of the server list. */
    public record Server(
            long id, int zone, int kind, int cell, State state, double weight, long startedAtNanos) {}

    /** A client request. A {@code work} of 0 means no hint; a {@code key} of 0 means none. */
    public record Request(
            long id,
            int requestClass,
            int tenant,
            long key,
            long deadlineNanos,
            long work,
            boolean clientRetry,
            boolean write) {}

    /** Where a read's answer came from, for caches that tell. */
    public enum Source {
        UNKNOWN,
        CACHE,
        ORIGIN
    }

    /** The end of an attempt. {@code requestCompleted}: the request has its final answer. */
    public record Outcome(
            long requestId,
            int attempt,
            Reason result,
            long durationNanos,
            boolean requestCompleted,
            Source source,
            float[] loadReport) {}

    /** Events in. All times are nanoseconds of the caller's clock. */
    public interface Events {
        /** The server list changed, or a call for it failed. */
        void onEndpointUpdate(long now, ListMode mode, List<Server> servers);

        /** A client request arrived; one final answer is owed from here on. */
        void onRequest(long now, Request request);

        /** An attempt ended. Unknown requests are passed over. */
        void onAttemptOutcome(long now, Outcome outcome);

        /** A streamed answer began. */
        void onFirstByte(long now, long request, int attempt);

        /** The client left; nothing is owed any more. */
        void onClientDisconnect(long now, long request);

        /** A timer set by {@link Actions#scheduleTimer} is due. */
        void onTimer(long now, int token);

        /**
         * Operators hold these servers out of use, all of them and no others, whatever the list
         * says. One that is let go may have been restarted meanwhile.
         */
        void onAdminDrains(long now, Set<Long> drainedServers);

        /**
         * What the fleet knows of its servers: exactly these are found bad by others, as far as
         * that is to be gone by. Advice: their traffic is lowered, not ended.
         */
        void onPeerHealthReports(long now, Set<Long> outliers);

        /**
         * New settings hold from now on. A class or tenant keeps its number for the life of the
         * module, also one that is no longer named: its open requests go on.
         */
        void onSettings(long now, Settings settings);

        /**
         * So many further processes of this balancer serve beside this one: an upgrade is under
         * way.
         */
        void onSiblingProcesses(long now, int siblingCount);
    }

    /** Actions out. */
    public interface Actions {
        /** Starts the next attempt of a request; it is abandoned at {@code abandonAtNanos}. */
        void send(long request, long server, long abandonAtNanos);

        /** Ends the wait for one attempt. */
        void cancel(long request, int attempt);

        /** Final answer: refused, a client's retry does no harm. */
        void reject(long request, long retryAfterNanos);

        /** Final answer: failed. */
        void fail(long request);

        /** Asks for {@link Events#onTimer}. */
        void scheduleTimer(long atNanos, int token);

        /** Closes this balancer's idle connections to a server. */
        void closeIdleConnections(long server);

        /** Subscribes to changes of the server list. */
        void subscribe();
    }
}
