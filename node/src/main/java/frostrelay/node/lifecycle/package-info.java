/**
 * Draining and shutdown of one balancer process, and the state that the processes of one balancer
 * share through {@code $TMPDIR}.
 *
 * <p>{@link frostrelay.node.lifecycle.ActionGuard} and {@link
 * frostrelay.node.lifecycle.DrainSchedule} decide what may still be accepted, sent or closed; they
 * read no clock, do no I/O and belong to the event loop. {@link
 * frostrelay.node.lifecycle.SharedDirectory} reads and writes files, on a thread of its own, since
 * the event loop must never block. It stores the administrators' drains and overrides, which
 * outlast the process, and keeps track of the balancer's other serving processes during an upgrade.
 */
package frostrelay.node.lifecycle;
