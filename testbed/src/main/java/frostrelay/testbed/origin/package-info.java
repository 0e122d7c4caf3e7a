/** A simulated origin and the client with which caches access it. */
package frostrelay.testbed.origin;
