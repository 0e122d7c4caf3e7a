/**
 * Detection of balancers that apply superseded versions of the endpoint list or the configuration,
 * and what such a balancer does about it.
 *
 * <p>{@link frostrelay.staleness.StalenessDetector} is the facade. {@code FleetVersions} knows
 * which versions the peers apply; {@code ListStaleness} and {@code ConfigStaleness} evaluate the
 * local ones and schedule polls and fetches; {@code RolloutGuard} decides which newer versions are
 * not followed; {@code CacheAvoidance} decides which caches to avoid because of peers' reports;
 * {@code SelfDrain} decides when to drain. {@link frostrelay.staleness.ConfigTransfer} fetches a
 * configuration from peers, and {@link frostrelay.staleness.StalenessCodec} is the wire form, as
 * sections of gossip datagrams.
 *
 * <p>Invariants: peers' reports only take caches away, never more than a part of them; where three
 * or more peers are alive, a single one proves nothing; a balancer without contact to its peers is
 * neither current nor behind; at most a part of the ranks drain themselves.
 *
 * <p>No class here does I/O, reads a clock or starts a thread: the caller passes the time and
 * carries out the {@code Actions}. All calls to one object come from one thread.
 */
package frostrelay.staleness;
