package frostrelay.node.net;

/**
 * The part of a {@link MemoryLimiter} that one connection holds. An account may grow while it is
 * not larger than what is still free ("dynamic threshold", Choudhury and Hahne 1998): the largest
 * holders are refused first, and room remains for the others. Owned by the event loop; not
 * thread-safe.
 */
public final class MemoryAccount implements MemoryPool {
    private final MemoryLimiter limiter;
    private long heldBytes;

    public MemoryAccount(MemoryLimiter limiter) {
        this.limiter = limiter;
    }

    /** Returns how many more bytes this account may hold now; 0 if none. */
    public long roomBytes() {
        return Math.max(0, limiter.freeBytes() - heldBytes);
    }

    /** Returns whether little memory is left for all accounts of the limiter together. */
    public boolean isMemoryShort() {
        return limiter.isShort();
    }

    @Override
    public boolean tryReserve(int bytes) {
        if (bytes > roomBytes()) {
            return false;
        }
        reserve(bytes);
        return true;
    }

    /**
     * Counts bytes that this connection holds whether there is room or not. Only for a small amount
     * that each connection needs to make progress, and for bytes that were reserved elsewhere
     * before.
     */
    public void reserve(int bytes) {
        heldBytes += bytes;
        limiter.reserve(bytes);
    }

    @Override
    public void release(int bytes) {
        heldBytes -= bytes;
        limiter.release((long) bytes);
    }

    /** Returns the bytes that this account holds. */
    public long heldBytes() {
        return heldBytes;
    }
}
