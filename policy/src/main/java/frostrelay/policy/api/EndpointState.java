package frostrelay.policy.api;

/** What the list says of a server. */
public enum EndpointState {
    READY,
    DRAINING,
    REMOVED
}
