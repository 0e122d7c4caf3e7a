/**
 * A simulated discovery service: endpoint lists by long poll, with injected outages, delays and
 * stalled watches.
 */
package frostrelay.testbed.discovery;
