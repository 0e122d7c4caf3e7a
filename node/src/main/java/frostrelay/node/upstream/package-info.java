/**
 * Connections to cache servers: {@link frostrelay.node.upstream.UpstreamConnectionPool} implements
 * {@link frostrelay.node.proxy.Upstream} for the meta protocol.
 *
 * <p>A connection carries one request at a time and belongs to the pool from its first connect
 * until its channel is closed. An attempt that is abandoned after it was written costs its
 * connection, because the response may still arrive. Nothing is ever sent a second time here: a
 * retry is a decision of the policy. Each write is checked with the {@link
 * frostrelay.node.lifecycle.ActionGuard} immediately before it, however it was decided earlier.
 * Everything runs on the balancer's one event loop and nothing blocks.
 */
package frostrelay.node.upstream;
