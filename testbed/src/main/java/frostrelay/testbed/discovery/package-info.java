/**
 * A stand-in for the discovery service: endpoint lists by long poll, with injected outages, delays
 * and silent watches.
 */
package frostrelay.testbed.discovery;
