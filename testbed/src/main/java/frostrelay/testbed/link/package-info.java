/** A proxy between balancer and server that delays, narrows, stalls or cuts connections. */
package frostrelay.testbed.link;
