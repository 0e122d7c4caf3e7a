/**
 * Passive health checking shared between the balancers of one cluster.
 *
 * <p>Each balancer keeps decaying statistics of its own attempts per cache ({@link
 * frostrelay.healthreports.LocalHealthStats}), writes a {@link
 * frostrelay.healthreports.HealthReport} when its finding changes, and sends reports to its peers
 * in gossip sections ({@link frostrelay.healthreports.ReportQueue}). {@link
 * frostrelay.healthreports.HealthReportAggregator} merges reports, and {@link
 * frostrelay.healthreports.OutlierEvaluator} decides which caches are outliers.
 *
 * <p>Invariants: a report is a last-writer-wins register per reporter and cache, so loss,
 * duplication and reordering of datagrams do not change the outcome; one peer counts as one
 * reporter at most, even if it relays reports of others; a fresh success of this balancer outweighs
 * every report of its peers; at most a configured fraction of the caches is ejected.
 *
 * <p>Collaborators: {@code frostrelay.gossip} carries the sections; the node supplies endpoint
 * lists, attempt results and the wakeup timer. The package has no I/O and no clock: callers pass
 * moments as nanoseconds of one monotonic clock. Nothing is thread-safe; a balancer calls all of it
 * from its event loop.
 */
package frostrelay.healthreports;
