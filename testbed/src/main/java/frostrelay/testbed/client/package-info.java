/**
 * Clients with open-loop load: requests are sent by plan, and latency counts from the planned time.
 */
package frostrelay.testbed.client;
