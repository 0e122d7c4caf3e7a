/**
 * Checks of what must hold between clients, cache servers and discovery, whatever the balancer does
 * inside.
 *
 * <p>Pure functions of what the stand-ins observed: no I/O and no clock.
 */
package frostrelay.testbed.invariants;
