package frostrelay.policy.api;

/** An entry of the server list. */
public record Server(
        long id,
        int zone,
        int kind,
        int cell,
        EndpointState state,
        double weight,
        long startedAtNanos) {}
