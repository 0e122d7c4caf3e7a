/** The process's monotonic clock. Stateless after class initialization; safe for all threads. */
package frostrelay.node.time;
