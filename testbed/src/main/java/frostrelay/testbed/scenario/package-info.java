/** Scenarios: what a run consists of, its load and its faults, read from TOML. */
package frostrelay.testbed.scenario;
