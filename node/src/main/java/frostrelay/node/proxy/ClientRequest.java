package frostrelay.node.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** A valid client request, independent of the protocol that it arrived in. Immutable. */
public interface ClientRequest {
    /** Returns the id by which servers identify the request. */
    String id();

    /** Returns the index of the request class in the settings. */
    int requestClass();

    /** Returns the index of the tenant in the settings. */
    int tenant();

    /** Returns the key as a number, for the policy. */
    long numericKey();

    /** Returns the client's timeout in milliseconds. */
    long clientTimeoutMillis();

    /** Returns the expected processing time in nanoseconds; 0 if unknown. */
    long expectedWorkNanos();

    /** Returns whether the client has marked the request as a retry. */
    boolean isClientRetry();

    /** Returns whether the request changes stored data. */
    boolean isWrite();

    /** Returns the bytes of memory that the request occupies until it is finished. */
    int sizeBytes();

    /**
     * Encodes the request for a server, with the remaining timeout. The caller releases the buffer.
     */
    ByteBuf encode(ByteBufAllocator alloc, long remainingMillis);
}
