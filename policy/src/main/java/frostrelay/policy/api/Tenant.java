package frostrelay.policy.api;

/**
 * A tenant's quota.
 *
 * @param quotaPerSecond requests per second within its quota, over all balancers
 * @param serviceFraction the tenant's configured fraction of the service
 */
public record Tenant(double quotaPerSecond, double serviceFraction) {}
