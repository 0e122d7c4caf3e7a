package frostrelay.node.net;

import frostrelay.node.metrics.Counters;
import frostrelay.node.metrics.InvariantViolation;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.util.internal.PlatformDependent;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The memory that traffic may hold, with a limit for each purpose. The limits are separate, because
 * a request that holds memory can release it only if the next step gets memory: unread commands
 * wait for requests, requests for responses, and responses for their client's socket. All but
 * {@link #outputBuffers} are on the heap. Owned by the event loop; not thread-safe.
 */
public final class TrafficMemory {
    private static final long KIBIBYTE = 1024;

    /** Commands that have been read from clients but not started. */
    private static final long CLIENT_INPUT_BYTES = 4 * 1024 * KIBIBYTE;

    /** Requests that are open or being received, with their values. */
    private static final long REQUEST_BYTES = 8 * 1024 * KIBIBYTE;

    /** Responses, from the moment in which they are read from a cache until a client's socket. */
    private static final long RESPONSE_BYTES = 8 * 1024 * KIBIBYTE;

    /** Direct buffers that wait until a socket accepts them. */
    private static final long OUTPUT_BUFFER_BYTES = 10 * 1024 * KIBIBYTE;

    /** What one connection may hold beyond a limit: a read and a line that is not complete. */
    private static final long MIN_BYTES_PER_CONNECTION = 3L * ReadSizeLimit.MIN_READ_BYTES;

    private final Map<String, MemoryLimiter> limiters = new LinkedHashMap<>();
    private final Map<String, Long> limitsOfOneProcess = new LinkedHashMap<>();
    private final MemoryLimiter clientInput = add("client-input", CLIENT_INPUT_BYTES);
    private final MemoryLimiter requests = add("held", REQUEST_BYTES);
    private final MemoryLimiter responses = add("responses", RESPONSE_BYTES);
    private final MemoryLimiter outputBuffers = add("output-buffers", OUTPUT_BUFFER_BYTES);

    private MemoryLimiter add(String name, long limitBytes) {
        MemoryLimiter limiter = new MemoryLimiter(limitBytes);
        limiters.put(name, limiter);
        limitsOfOneProcess.put(name, limitBytes);
        return limiter;
    }

    /** Returns the limiter of commands that have been read from clients but not started. */
    public MemoryLimiter clientInput() {
        return clientInput;
    }

    /** Returns the limiter of requests that are open or being received. */
    public MemoryLimiter requests() {
        return requests;
    }

    /** Returns the limiter of responses that have not been handed to a client's socket. */
    public MemoryLimiter responses() {
        return responses;
    }

    /** Returns the limiter of direct buffers that wait until a socket accepts them. */
    public MemoryLimiter outputBuffers() {
        return outputBuffers;
    }

    /** Divides the limits among this process and its peers, which share the memory. */
    public void setPeerProcessCount(int peerProcessCount) {
        limiters.forEach(
                (name, limiter) ->
                        limiter.setLimit(limitsOfOneProcess.get(name) / (1 + peerProcessCount)));
    }

    /**
     * Records a violation for each limit that was exceeded since the last check by more than the
     * connections may, and for direct memory above the JVM's limit.
     *
     * @param connectionCount the number of connections of clients and to caches
     */
    public void check(Counters counters, int connectionCount) {
        long allowanceBytes = connectionCount * MIN_BYTES_PER_CONNECTION;
        limiters.forEach(
                (name, limiter) -> {
                    long peakBytes = limiter.takePeakBytes();
                    if (peakBytes > limitsOfOneProcess.get(name) + allowanceBytes) {
                        recordExcess(counters, name, peakBytes, limiter.limitBytes());
                    }
                });
        if (directBytes() >= PlatformDependent.maxDirectMemory()) {
            recordExcess(counters, "direct", directBytes(), PlatformDependent.maxDirectMemory());
        }
    }

    private static void recordExcess(
            Counters counters, String name, long usedBytes, long limitBytes) {
        counters.recordViolation(
                InvariantViolation.MEMORY_LIMIT_EXCEEDED,
                name + ": " + usedBytes + " bytes, limit " + limitBytes);
    }

    /** Returns the direct memory that Netty's allocator has taken, in use or not. */
    private static long directBytes() {
        return PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
    }

    /** Adds the bytes held for each purpose, and all direct memory with its limit. */
    public void collectGauges(Map<String, Object> gauges) {
        limiters.forEach((name, limiter) -> gauges.put(name, limiter.reservedBytes()));
        gauges.put("direct", directBytes());
        gauges.put("direct-limit", PlatformDependent.maxDirectMemory());
    }
}
