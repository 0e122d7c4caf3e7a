/**
 * The client of the service discovery: {@link frostrelay.node.discovery.DiscoveryClient} watches
 * the endpoint list of cache servers, and {@link frostrelay.node.discovery.ServerStartTimes}
 * converts the servers' start times from Unix time to this process's clock.
 *
 * <p>Everything runs on the balancer's event loop and is not synchronized. At most one call to the
 * discovery is in progress at a time; when a watch fails, the decision module decides when to
 * subscribe again.
 */
package frostrelay.node.discovery;
