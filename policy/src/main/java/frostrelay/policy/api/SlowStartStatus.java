package frostrelay.policy.api;

/**
 * What a server in slow start gets from this balancer. Work is in units of a typical request's.
 *
 * @param serverId id of the server
 * @param allowedWork work that this balancer may send in an overload window
 * @param sentWork work that it has sent in the current window
 * @param heldBack requests that went elsewhere or were rejected, since the slow start began
 */
public record SlowStartStatus(long serverId, double allowedWork, double sentWork, long heldBack) {}
