/**
 * Helpers for connections: connecting on the event loop, and the limit on memory that values in
 * flight may take. Not synchronized; both belong to the event loop.
 */
package frostrelay.node.net;
