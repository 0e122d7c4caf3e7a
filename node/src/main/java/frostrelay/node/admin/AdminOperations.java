package frostrelay.node.admin;

import io.netty.util.concurrent.Future;

/**
 * The operations that administrators may call on a balancer. They are called on its event loop and
 * are idempotent.
 */
public interface AdminOperations {
    /** Returns whether this process is ready to serve. */
    boolean isReady();

    /**
     * Returns the versions that this balancer uses and its view of its peers, as JSON; null if
     * auditing is off.
     */
    byte[] auditStatement();

    /**
     * Returns the audit record so far, in the format of the audit's files; null if there is none.
     */
    byte[] auditRecord();

    /**
     * Stores a decision that overrides the staleness detection, for the life of the balancer.
     * Completed with false if this balancer does not detect staleness; fails if the decision cannot
     * be stored.
     */
    Future<Boolean> setOverride(OverrideDecision decision);

    /** Drains this balancer's clients until {@link #stopDrain}. */
    void startDrain();

    /** Ends a drain: clients are accepted again. */
    void stopDrain();

    /**
     * Drains a cache server, or ends its drain. Completed with false for an unknown id; fails if
     * the change cannot be stored.
     */
    Future<Boolean> setAdminDrain(String id, boolean isDrained);
}
