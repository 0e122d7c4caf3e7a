package frostrelay.policy.api;

/** A client request. A {@code work} of 0 means no hint; a {@code key} of 0 means none. */
public record Request(
        long id,
        int requestClass,
        int tenant,
        long key,
        long deadlineNanos,
        long work,
        boolean clientRetry,
        boolean write) {}
