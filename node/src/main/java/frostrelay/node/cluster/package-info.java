/**
 * A balancer's membership in its cluster. {@link frostrelay.node.cluster.ClusterMembership} is the
 * interface to the rest of the node; {@code ClusterMember} forwards events between the gossip node,
 * the audit log and the services that share state: staleness detection, health reports and
 * counters.
 *
 * <p>Invariants: every part can be switched off; a balancer without peers, or with peers that are
 * unreachable, serves on its own; of this package only counting is on the path of a request, and it
 * does not allocate.
 *
 * <p>Collaborators: the modules gossip, audit, staleness and healthreports make the decisions; this
 * package supplies them with the socket, the clock, timers and the log. Everything runs on the
 * balancer's event loop, except the disk writes of the audit record, which have a thread of their
 * own.
 */
package frostrelay.node.cluster;
