/**
 * The decision module of the load balancer, which selects the server of each request and decides
 * when the request is hedged, retried, rejected or failed.
 *
 * <p>{@link frostrelay.policy.Router} is the entry point. It receives {@link
 * frostrelay.policy.api.PolicyEvents events} and calls {@link frostrelay.policy.api.PolicyActions
 * actions}; the node, the simulator adapter and embedding programs perform them. Each of the other
 * classes has one concern:
 *
 * <ul>
 *   <li>{@link frostrelay.policy.RequestState} and {@link frostrelay.policy.RequestAlarms}: the
 *       requests in flight and their alarms;
 *   <li>{@link frostrelay.policy.ServerSelector} with {@link
 *       frostrelay.policy.RendezvousCandidates}: the choice of a server;
 *   <li>{@link frostrelay.policy.ServerHealth} with {@link frostrelay.policy.CircuitBreaker} and
 *       {@link frostrelay.policy.SlowStart}: the state of each server;
 *   <li>{@link frostrelay.policy.RequestAdmission} with {@link frostrelay.policy.AdmissionControl}
 *       and {@link frostrelay.policy.OriginFetchLimiter}: shedding load; {@link
 *       frostrelay.policy.OutcomeFeedback}: the load signals for it;
 *   <li>{@link frostrelay.policy.HedgingPolicy}, {@link frostrelay.policy.RetrySafety} and {@link
 *       frostrelay.policy.PerKeyQueue}: the delay, budget, safety and order of attempts;
 *   <li>{@link frostrelay.policy.SubscriptionSchedule}: when to subscribe to the endpoint list.
 * </ul>
 *
 * <p>Invariants: every admitted request gets exactly one final answer; a request that may have been
 * executed is repeated or rejected only where {@link frostrelay.policy.RetrySafety} allows it; a
 * draining or removed server gets no new attempt.
 *
 * <p>The module does no I/O, reads no clock and draws random numbers only from its seed, so that
 * the same events always produce the same actions. Each router is confined to one thread. Code on
 * the request path allocates little.
 */
package frostrelay.policy;
