/**
 * Runs of several real balancer processes under a schedule of faults, and the checks of what was
 * observed.
 *
 * <p>The checks read audit records and the observations of stand-ins with code of their own: they
 * share none with the balancer.
 */
package frostrelay.testbed.campaign;
