/**
 * Client connections: {@link frostrelay.node.client.ClientListener} accepts them, and each {@code
 * ClientConnection} reads pipelined commands and writes the responses in the order of the commands.
 *
 * <p>{@code ReadAhead} reads bytes ahead of the commands that have been started, so that a client's
 * disconnect is detected while its earlier requests are in flight. {@code ConnectionLimiter} limits
 * the connections and selects idle ones to evict; {@code OutputQueue} holds the responses that a
 * client has not read. Both directions are counted in {@link frostrelay.node.net.TrafficMemory}.
 * Requests are passed to the {@link frostrelay.node.proxy.RequestDispatcher}, which gives exactly
 * one response to each unless its client disconnects first. Everything runs on the balancer's
 * single event loop, and nothing blocks. A connection owns its pending responses until they are
 * written or it is closed.
 */
package frostrelay.node.client;
