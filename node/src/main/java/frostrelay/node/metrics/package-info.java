/**
 * Counters for the log, and the reasons by which rejections, closes and invariant violations are
 * counted.
 *
 * <p>Owned by the event loop; not synchronized.
 */
package frostrelay.node.metrics;
