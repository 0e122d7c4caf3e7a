/** The process's monotonic clock. */
package frostrelay.node.time;
