package frostrelay.node.proxy;

import frostrelay.node.net.MemoryLimiter;
import frostrelay.node.time.Clock;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The requests that are in progress, until the outcome of their last attempt, and the memory that
 * is reserved for them. Runs on the event loop.
 */
final class RequestTable {
    private final MemoryLimiter memoryLimiter;
    private final Map<Long, ActiveRequest> activeRequests = new HashMap<>();

    /** The ids of requests that are due a response. */
    private final Set<String> openRequestIds = new HashSet<>();

    RequestTable(MemoryLimiter memoryLimiter) {
        this.memoryLimiter = memoryLimiter;
    }

    /** Whether a request with this id of a client is due a response. */
    boolean isOpen(String clientRequestId) {
        return openRequestIds.contains(clientRequestId);
    }

    /** Reserves memory for a request; false if there is not enough. */
    boolean tryReserveMemory(ClientRequest clientRequest) {
        return memoryLimiter.tryReserve(clientRequest.sizeBytes());
    }

    /** Adds a request for which memory has been reserved. */
    void add(ActiveRequest activeRequest) {
        activeRequests.put(activeRequest.id, activeRequest);
        openRequestIds.add(activeRequest.clientRequest.id());
    }

    /** The request with this number; null if it is over. */
    ActiveRequest get(long requestId) {
        return activeRequests.get(requestId);
    }

    Collection<ActiveRequest> activeRequests() {
        return activeRequests.values();
    }

    /**
     * A request has its response, or its client has disconnected. One that was rejected before it
     * was added is not here, and its id may be that of another one.
     */
    void onCompleted(ActiveRequest activeRequest) {
        if (activeRequests.containsKey(activeRequest.id)) {
            openRequestIds.remove(activeRequest.clientRequest.id());
        }
    }

    /** Removes a completed request and releases its memory if no outcome is pending any more. */
    void removeIfFinished(ActiveRequest activeRequest) {
        if (activeRequest.completed
                && activeRequest.pendingOutcomes == 0
                && activeRequests.remove(activeRequest.id) != null) {
            memoryLimiter.release(activeRequest.clientRequest.sizeBytes());
        }
    }

    /** Requests that are due a response. */
    int openCount() {
        return openRequestIds.size();
    }

    /** Requests in progress, including those that only wait for outcomes. */
    int size() {
        return activeRequests.size();
    }

    /** The first open requests, each by its id and the milliseconds until its deadline. */
    Map<String, Object> openRequests(int maxEntries) {
        long now = Clock.now();
        Map<String, Object> open = new LinkedHashMap<>();
        for (ActiveRequest activeRequest : activeRequests.values()) {
            if (!activeRequest.completed && open.size() < maxEntries) {
                open.put(
                        activeRequest.clientRequest.id(),
                        (activeRequest.deadlineNanos - now) / Clock.NANOS_PER_MILLISECOND);
            }
        }
        return open;
    }
}
