package frostrelay.node.net;

/**
 * Limits the bytes that are held for one purpose at one time, by all connections together, so that
 * peers cannot use up the memory, however many there are. {@link MemoryAccount} divides them fairly
 * among the holders. Owned by the event loop; not thread-safe.
 */
public final class MemoryLimiter implements MemoryPool {
    /** Memory is short if less than the limit divided by this is free. */
    private static final int SHORT_DIVISOR = 4;

    private long limitBytes;
    private long reservedBytes;
    private long peakBytes;
    private Runnable releaseListener = () -> {};

    public MemoryLimiter(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Changes the limit. Bytes above it stay reserved until they are released. */
    public void setLimit(long newLimitBytes) {
        limitBytes = newLimitBytes;
    }

    /** Sets an action that runs after each release. It must not reserve anything itself. */
    public void setReleaseListener(Runnable listener) {
        releaseListener = listener;
    }

    /**
     * {@inheritDoc}
     *
     * <p>A reservation of 0 always succeeds.
     */
    @Override
    public boolean tryReserve(int bytes) {
        if (bytes > 0 && reservedBytes + bytes > limitBytes) {
            return false;
        }
        reserve(bytes);
        return true;
    }

    /** Counts bytes that are already held, whether the limit allows them or not. */
    void reserve(long bytes) {
        reservedBytes += bytes;
        peakBytes = Math.max(peakBytes, reservedBytes);
    }

    @Override
    public void release(int bytes) {
        release((long) bytes);
    }

    void release(long bytes) {
        reservedBytes -= bytes;
        if (bytes > 0) {
            releaseListener.run();
        }
    }

    /** Returns the bytes below the limit that are not reserved; negative above the limit. */
    public long freeBytes() {
        return limitBytes - reservedBytes;
    }

    /** Returns whether little memory is free, so that idle holders should give theirs up. */
    boolean isShort() {
        return freeBytes() < limitBytes / SHORT_DIVISOR;
    }

    /** Returns the bytes that are reserved now. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** Returns the most bytes that were reserved since the last call of this method. */
    long takePeakBytes() {
        long peak = peakBytes;
        peakBytes = reservedBytes;
        return peak;
    }

    long limitBytes() {
        return limitBytes;
    }
}
