/**
 * Counters for the log, and the reasons that rejections, closes and invariant violations are split
 * by.
 *
 * <p>Owned by the event loop; not synchronized.
 */
package frostrelay.node.metrics;
