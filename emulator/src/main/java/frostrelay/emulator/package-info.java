/**
 * Discrete-event simulation of balancers, caches, origin, discovery, network and clients with the
 * real decision module.
 *
 * <p>Reproducible: the same seed gives the same run. Nothing here reads the machine's clock or does
 * I/O.
 */
package frostrelay.emulator;
