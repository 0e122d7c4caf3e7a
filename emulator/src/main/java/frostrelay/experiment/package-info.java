/**
 * Experiments on the emulator: sweeps over parameters, results files, comparisons, search for
 * faults, regression runs.
 */
package frostrelay.experiment;
