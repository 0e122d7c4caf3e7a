package frostrelay.node.net;

/** Memory that is reserved before it is used. Owned by the event loop; not thread-safe. */
public interface MemoryPool {
    /** Reserves bytes; returns false, and reserves nothing, if there is no room for them. */
    boolean tryReserve(int bytes);

    /** Releases bytes that were reserved before. */
    void release(int bytes);
}
