/**
 * Draining and shutdown of one balancer process, and the state that the processes of one balancer
 * share through {@code $TMPDIR}.
 *
 * <p>{@link frostrelay.node.lifecycle.ActionGuard} and {@link
 * frostrelay.node.lifecycle.DrainSchedule} decide which requests may still be accepted or sent and
 * which connections may be closed; they read no clock, do no I/O and belong to the event loop.
 * {@link frostrelay.node.lifecycle.SharedDirectory} reads and writes files on a dedicated thread,
 * since the event loop must never block. It stores the administrators' drains and overrides, which
 * persist after the process has ended, and tracks the balancer's other serving processes during an
 * upgrade.
 */
package frostrelay.node.lifecycle;
