/**
 * Compares a balancer with a bare relay under load on loopback: throughput, latency and CPU time a
 * request.
 */
package frostrelay.testbed.bench;
