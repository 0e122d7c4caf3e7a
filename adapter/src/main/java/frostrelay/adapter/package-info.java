/**
 * Runs the decision module on the simulator's wire: event frames on standard input, action frames
 * on standard output.
 *
 * <p>{@link frostrelay.adapter.Adapter} reads a frame, hands each event to the {@code
 * frostrelay.policy.Router} of the balancer that it is for, and replies with the actions collected
 * by {@link frostrelay.adapter.ReplyWriter}. {@link frostrelay.adapter.EventFrame} knows the layout
 * of events, {@link frostrelay.adapter.SimulatedGossip} runs gossip between the hosted balancers.
 * The package decides nothing itself.
 *
 * <p>Invariants: every event frame gets exactly one reply frame, with the actions in the order in
 * which they were decided; input that breaks the wire's rules ends the program with a {@link
 * frostrelay.adapter.WireException}. All of it runs on the main thread, and time is the frames'
 * time.
 */
package frostrelay.adapter;
