/**
 * Checks of the invariants that balancers must satisfy towards clients, cache servers and
 * discovery, independent of their implementation.
 *
 * <p>The results depend only on the events that the testbed observed: no I/O and no clock.
 */
package frostrelay.testbed.invariants;
