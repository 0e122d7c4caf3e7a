/**
 * Starts balancers with seeded defects. The tests prove with them that the campaign's checks find
 * what they are for.
 */
package frostrelay.defects;
