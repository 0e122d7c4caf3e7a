/**
 * Soak tests: many processes under overlapping faults drawn from a seed, held against the
 * invariants.
 */
package frostrelay.testbed.soak;
