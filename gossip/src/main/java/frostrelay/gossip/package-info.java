/**
 * Cluster membership and dissemination among the balancers of one cluster: SWIM failure detection
 * with Lifeguard's local health multiplier, and gossip of the versions ({@link
 * frostrelay.gossip.AppliedVersions}) that each member applies.
 *
 * <p>{@link frostrelay.gossip.GossipNode} is the facade. {@code SectionReader} and {@code
 * DatagramWriter} decode and encode the wire format ({@code GossipDatagram}, {@code SectionType});
 * {@code Membership} changes the states in {@code MembershipTable}; {@code FailureDetector} probes
 * members; {@code SuspicionTable} holds the suspected members and their deadlines to refute; {@code
 * UpdateDisseminator} sends the changes in {@code UpdateQueue}. Other modules add their own
 * sections through {@link frostrelay.gossip.PayloadProvider}.
 *
 * <p>Invariants: an incarnation never decreases, and a sequence number only increases within an
 * incarnation; no datagram exceeds 256 bytes; the bytes sent in any second stay within the limit in
 * the settings; the work to handle a datagram is bounded for any content.
 *
 * <p>No class here does I/O, reads a clock or starts a thread: the caller passes the time, delivers
 * datagrams and timers, and sends. All calls to one node come from one thread.
 */
package frostrelay.gossip;
