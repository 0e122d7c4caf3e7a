/**
 * Helpers for connections: connecting on the event loop, and the memory limit for values in flight.
 * Not synchronized; both belong to the event loop.
 */
package frostrelay.node.net;
