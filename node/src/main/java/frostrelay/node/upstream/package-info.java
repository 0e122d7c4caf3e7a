/**
 * Connections to cache servers: {@link frostrelay.node.upstream.UpstreamConnectionPool} implements
 * {@link frostrelay.node.proxy.Upstream} for the meta protocol.
 *
 * <p>A connection carries one request at a time and belongs to the pool from the start of its
 * connect until its channel is closed. If an attempt is abandoned after it was written, its
 * connection is closed, because the response may still arrive. This package never retries an
 * attempt; the policy decides on retries. Each write is checked with the {@link
 * frostrelay.node.lifecycle.ActionGuard} immediately before it, regardless of earlier decisions.
 * Everything runs on the balancer's single event loop, and nothing blocks.
 */
package frostrelay.node.upstream;
