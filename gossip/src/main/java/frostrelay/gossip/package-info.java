/**
 * Cluster membership and dissemination among the balancers of one cluster: failure detection in the
 * manner of SWIM with Lifeguard's local health multiplier, and gossip of which versions ({@link
 * frostrelay.gossip.AppliedVersions}) each member applies.
 *
 * <p>{@link frostrelay.gossip.GossipNode} is the facade. Behind it, {@code SectionReader} and
 * {@code DatagramWriter} are the two sides of the wire form ({@code GossipDatagram}, {@code
 * SectionType}); {@code Membership} changes the states in {@code MembershipTable}; {@code
 * FailureDetector} probes, and {@code SuspicionTable} holds who must refute until when; {@code
 * UpdateDisseminator} spreads the changes in {@code UpdateQueue}. Other modules attach their own
 * sections by {@link frostrelay.gossip.PayloadProvider}.
 *
 * <p>Invariants: an incarnation never falls, and a sequence number only rises within one; no
 * datagram exceeds 256 bytes; no second carries more bytes than the settings allow; a datagram
 * costs bounded work whatever it contains.
 *
 * <p>No class here does I/O, reads a clock or starts a thread: the caller passes the time, delivers
 * datagrams and timers, and sends. All calls to one node come from one thread.
 */
package frostrelay.gossip;
