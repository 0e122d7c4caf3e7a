package frostrelay.policy.api;

/**
 * A client request.
 *
 * @param id unique id
 * @param requestClass index into {@link PolicySettings#classes}
 * @param tenant index into {@link PolicySettings#tenants}; an unknown tenant has no quota
 * @param key cache key, 0 for none
 * @param deadlineNanos when the client stops waiting
 * @param work hint of the amount of work, 0 for none
 * @param clientRetry whether this is a client's retry of an earlier request
 * @param write whether the request writes
 */
public record Request(
        long id,
        int requestClass,
        int tenant,
        long key,
        long deadlineNanos,
        long work,
        boolean clientRetry,
        boolean write) {}
