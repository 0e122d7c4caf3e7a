package frostrelay.node.admin;

import io.netty.util.concurrent.Future;

/**
 * What operators may ask of a balancer. Calls come on its event loop; repeating one is harmless.
 */
public interface AdminOperations {
    /** Whether this process is ready to serve. */
    boolean isReady();

    /**
     * What this balancer acts on and what it knows of the others, as JSON; null where it keeps no
     * account.
     */
    byte[] auditStatement();

    /** Its record so far, in the form of the audit's files; null where it keeps none. */
    byte[] auditRecord();

    /**
     * Decides in place of the program how this balancer stands to the others, lastingly: {@code
     * keep-in}, {@code shut-out} or {@code follow:KIND:NUMBER}; an empty word with {@code isActive}
     * false ends all of that. Done with false where it minds nobody.
     */
    Future<Boolean> setOverride(String decision, boolean isActive);

    /** Sends clients away until {@link #stopDrain}. */
    void startDrain();

    /** Takes clients again. */
    void stopDrain();

    /**
     * Holds a server out of use, or lets it be used again: done with false for an id that nobody
     * has.
     */
    Future<Boolean> setAdminDrain(String id, boolean isDrained);
}
