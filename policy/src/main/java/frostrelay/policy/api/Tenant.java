package frostrelay.policy.api;

/**
 * A tenant.
 *
 * @param quotaPerSecond requests per second within its quota, over all balancers
 * @param serviceFraction its fraction of the service
 */
public record Tenant(double quotaPerSecond, double serviceFraction) {}
