/**
 * The life of requests and their attempts, between clients' connections, the policy and the
 * connections to cache servers, independent of the protocol on either side.
 *
 * <p>{@link frostrelay.node.proxy.RequestDispatcher} accepts requests and carries out the actions
 * of the policy, which alone decides what is sent, retried, rejected or given up. Each accepted
 * request gets exactly one final response, unless its client disconnects first, and each attempt
 * has exactly one outcome. {@code PolicyEventQueue} passes events to the policy one at a time, as
 * it is not reentrant; {@code DeadlineFallback} answers a request that the policy has left open at
 * its deadline. {@link frostrelay.node.proxy.Upstream} is implemented by the package for cache
 * servers, {@link frostrelay.node.proxy.ClientRequest} and {@link
 * frostrelay.node.proxy.UpstreamResponse} by the codec. Everything runs on the balancer's one event
 * loop and nothing blocks.
 */
package frostrelay.node.proxy;
