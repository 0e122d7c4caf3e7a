/**
 * The testbed's own codec for memcache meta commands. It shares no code with the balancer, so that
 * a fault in one is seen by the other.
 */
package frostrelay.testbed.wire;
