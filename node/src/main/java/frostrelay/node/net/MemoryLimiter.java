package frostrelay.node.net;

/**
 * Bytes of values that may be held at one time, those of open requests and those still coming in
 * alike. What peers announce costs nothing; what they have sent counts, so that no crowd of them
 * can fill the heap.
 */
public final class MemoryLimiter {
    private final long limitBytes;
    private long reservedBytes;

    public MemoryLimiter(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Takes some; false, and nothing taken, if there is no room. */
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
