package frostrelay.policy.api;

/** State of a server in the endpoint list. */
public enum EndpointState {
    /** Accepts new requests. */
    READY,
    /** Finishes its requests in flight and accepts no new ones. */
    DRAINING,
    /** No longer part of the fleet. */
    REMOVED
}
