package frostrelay.policy.api;

/**
 * An entry of the endpoint list.
 *
 * @param id unique id
 * @param zone zone that the server is in
 * @param kind kind of server; {@link PolicySettings#originKind} marks origins
 * @param cell cell that the server belongs to
 * @param state whether it accepts requests
 * @param weight relative capacity; 0 or less counts as 1
 * @param startedAtNanos when the server last started
 */
public record Server(
        long id,
        int zone,
        int kind,
        int cell,
        EndpointState state,
        double weight,
        long startedAtNanos) {}
