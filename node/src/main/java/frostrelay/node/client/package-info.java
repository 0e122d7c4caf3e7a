/**
 * Connections of clients: {@link frostrelay.node.client.ClientListener} accepts them, each {@code
 * ClientConnection} reads pipelined commands and writes their responses in the order of the
 * commands.
 *
 * <p>{@code ReadAhead} reads a connection further than its commands are begun, so that a client's
 * disconnect is detected while its earlier requests are in flight. {@code ConnectionLimiter} bounds
 * the connections and chooses idle ones to evict, {@code ResponseMemory} bounds the response bytes
 * that clients have not read. Requests are passed to the {@link
 * frostrelay.node.proxy.RequestDispatcher}, which gives exactly one response to each unless its
 * client disconnects first. Everything runs on the balancer's one event loop and nothing blocks; a
 * connection owns its pending responses until they are written or it is closed.
 */
package frostrelay.node.client;
