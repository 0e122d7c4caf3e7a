/**
 * Request handling between the client connections, the policy and the connections to cache servers,
 * independent of the protocol on either side.
 *
 * <p>{@link frostrelay.node.proxy.RequestDispatcher} accepts requests and executes the actions of
 * the policy, which alone decides which requests are sent, retried, rejected or failed. Each
 * accepted request gets exactly one final response, unless its client disconnects first, and each
 * attempt has exactly one outcome. {@code PolicyEventQueue} passes events to the policy one at a
 * time, as it is not reentrant; {@code DeadlineFallback} completes a request that the policy has
 * left open at its deadline. {@link frostrelay.node.proxy.Upstream} is implemented by the package
 * {@code upstream}, {@link frostrelay.node.proxy.ClientRequest} and {@link
 * frostrelay.node.proxy.UpstreamResponse} by the memcache codec. Everything runs on the balancer's
 * single event loop, and nothing blocks.
 */
package frostrelay.node.proxy;
