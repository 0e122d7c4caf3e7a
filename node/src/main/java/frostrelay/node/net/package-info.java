/**
 * Helpers for connections: connecting on the event loop, the memory that traffic may hold ({@code
 * TrafficMemory} has the limits, {@code MemoryAccount} is one connection's part of one) and the
 * size of reads. Not synchronized; all belong to the event loop.
 */
package frostrelay.node.net;
