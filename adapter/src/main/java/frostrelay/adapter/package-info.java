/**
 * Connects the decision module to the simulator: event frames on standard input, action frames on
 * standard output.
 *
 * <p>{@link frostrelay.adapter.Adapter} reads a frame, passes each event to the {@code
 * frostrelay.policy.Router} of its balancer, and replies with the actions collected by {@link
 * frostrelay.adapter.ReplyWriter}. {@link frostrelay.adapter.EventFrame} decodes events, and {@link
 * frostrelay.adapter.SimulatedGossip} runs gossip between the hosted balancers. The package makes
 * no load balancing decisions itself.
 *
 * <p>Invariants: every event frame gets exactly one reply frame, with the actions in the order in
 * which they were decided; input that violates the wire protocol ends the program with a {@link
 * frostrelay.adapter.WireException}. All code runs on the main thread, and its clock is the time in
 * the frames.
 */
package frostrelay.adapter;
