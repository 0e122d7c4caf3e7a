package frostrelay.node.net;

/**
 * Limits the bytes of values in memory at one time, of open requests and of values still being
 * received. Counts received bytes, not announced lengths, so that peers cannot fill the heap,
 * however many there are. Owned by the event loop; not thread-safe.
 */
public final class MemoryLimiter {
    private final long limitBytes;
    private long reservedBytes;

    public MemoryLimiter(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Reserves bytes; returns false, and reserves nothing, if that exceeds the limit. A reservation
     * of 0 always succeeds.
     */
    public boolean tryReserve(int bytes) {
        if (bytes > 0 && reservedBytes + bytes > limitBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    public void release(int bytes) {
        reservedBytes -= bytes;
    }

    public long reservedBytes() {
        return reservedBytes;
    }
}
