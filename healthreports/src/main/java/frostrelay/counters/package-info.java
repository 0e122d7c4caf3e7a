/**
 * Counters over the whole cluster: each balancer counts for itself, sends its grow-only counters to
 * its peers in gossip sections, and estimates totals and rates from what it has received.
 *
 * <p>Invariants: {@link frostrelay.counters.GrowOnlyCounters} form a state-based CRDT, so lost,
 * duplicated and reordered sections do not affect the result; every total comes with the number of
 * balancers it covers, its age and an upper bound. Totals inform operators and load shedding; this
 * package takes no decisions.
 *
 * <p>Collaborators: {@code frostrelay.gossip} carries the sections; the node increments counters
 * and calls {@link frostrelay.counters.ClusterCounters#tick} once a second. There is no I/O and no
 * clock: callers pass nanoseconds of one monotonic clock. Not thread-safe; a balancer calls all of
 * it from its event loop.
 */
package frostrelay.counters;
