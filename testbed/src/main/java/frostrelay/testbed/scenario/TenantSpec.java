package frostrelay.testbed.scenario;

/** A tenant and its part of all requests. */
public record TenantSpec(String name, double fraction) {}
