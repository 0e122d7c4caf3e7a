/**
 * Helpers for connections: connecting on the event loop, and the limit on memory that values in
 * flight may take.
 */
package frostrelay.node.net;
