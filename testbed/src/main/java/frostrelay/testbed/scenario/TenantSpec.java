package frostrelay.testbed.scenario;

/** A tenant and its fraction of all requests. */
public record TenantSpec(String name, double fraction) {}
