package frostrelay.policy.api;

/** A tenant: requests a second within its share over all balancers, and its fraction of service. */
public record Tenant(double quotaPerSecond, double serviceFraction) {}
