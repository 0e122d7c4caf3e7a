/**
 * Assembles stand-ins, fault proxies, clients and balancer processes into one cluster on loopback
 * and runs scenarios on it.
 */
package frostrelay.testbed.fleet;
