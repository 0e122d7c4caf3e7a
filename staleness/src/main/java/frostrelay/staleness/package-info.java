/**
 * Detection of balancers that apply superseded versions of the endpoint list or the configuration,
 * and the response of such a balancer.
 *
 * <p>{@link frostrelay.staleness.StalenessDetector} is the facade. {@code FleetVersions} holds the
 * versions that the peers apply; {@code ListStaleness} and {@code ConfigStaleness} evaluate the
 * local ones and schedule polls and fetches; {@code RolloutGuard} decides which newer versions are
 * not followed; {@code CacheAvoidance} decides which caches to avoid because of peers' reports;
 * {@code SelfDrain} decides when to drain. {@link frostrelay.staleness.ConfigTransfer} fetches a
 * configuration from peers, and {@link frostrelay.staleness.StalenessCodec} encodes and decodes the
 * sections of gossip datagrams.
 *
 * <p>Invariants: reports of peers can only exclude caches, and at most a limited fraction of them;
 * if three or more peers are alive, a fact needs more than one reporter as proof; a balancer
 * without contact to its peers is neither current nor behind; at most a limited fraction of the
 * ranks drain themselves.
 *
 * <p>No class here does I/O, reads a clock or starts a thread: the caller passes the time and
 * executes the {@code Actions}. All calls to one object come from one thread.
 */
package frostrelay.staleness;
