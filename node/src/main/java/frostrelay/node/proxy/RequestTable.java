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
 * A table of the requests in progress and the memory reserved for them. A request stays in the
 * table until its last attempt has an outcome. Runs on the event loop.
 */
final class RequestTable {
    /** The memory of an open request besides its value: its parameters, attempts and timers. */
    private static final int OVERHEAD_BYTES = 1024;

    private final MemoryLimiter memoryLimiter;
    private final Map<Long, ActiveRequest> activeRequests = new HashMap<>();

    /** The ids of the requests that have no final response yet. */
    private final Set<String> openRequestIds = new HashSet<>();

    RequestTable(MemoryLimiter memoryLimiter) {
        this.memoryLimiter = memoryLimiter;
    }

    /** Returns whether a request with this client-assigned id has no final response yet. */
    boolean isOpen(String clientRequestId) {
        return openRequestIds.contains(clientRequestId);
    }

    /** Reserves memory for a request; returns false if there is not enough. */
    boolean tryReserveMemory(ClientRequest clientRequest) {
        return memoryLimiter.tryReserve(OVERHEAD_BYTES + clientRequest.sizeBytes());
    }

    /** Adds a request for which memory has been reserved. */
    void add(ActiveRequest activeRequest) {
        activeRequests.put(activeRequest.id, activeRequest);
        openRequestIds.add(activeRequest.clientRequest.id());
    }

    /** Returns the request with this internal id, or null if it is finished. */
    ActiveRequest get(long requestId) {
        return activeRequests.get(requestId);
    }

    Collection<ActiveRequest> activeRequests() {
        return activeRequests.values();
    }

    /**
     * Releases the id of a request that has its response or whose client has disconnected. A
     * request that was rejected before it was added to the table is ignored, because another
     * request may use its id.
     */
    void onCompleted(ActiveRequest activeRequest) {
        if (activeRequests.containsKey(activeRequest.id)) {
            openRequestIds.remove(activeRequest.clientRequest.id());
        }
    }

    /**
     * Removes a request and releases its memory if the request is completed and no outcome is
     * pending.
     */
    void removeIfFinished(ActiveRequest activeRequest) {
        if (activeRequest.completed
                && activeRequest.pendingOutcomes == 0
                && activeRequests.remove(activeRequest.id) != null) {
            memoryLimiter.release(OVERHEAD_BYTES + activeRequest.clientRequest.sizeBytes());
        }
    }

    /** Returns the number of requests that have no final response yet. */
    int openCount() {
        return openRequestIds.size();
    }

    /**
     * Returns the number of requests in progress, including completed requests with pending
     * outcomes.
     */
    int size() {
        return activeRequests.size();
    }

    /**
     * Returns up to {@code maxEntries} open requests: for each id the milliseconds until the
     * deadline.
     */
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
