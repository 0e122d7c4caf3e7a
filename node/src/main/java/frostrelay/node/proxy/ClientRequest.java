package frostrelay.node.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * A valid request of a client, in whatever protocol, as far as its handling depends on it.
 * Immutable.
 */
public interface ClientRequest {
    /** The id by which servers know the request. */
    String id();

    /** Its class, by the number in the settings. */
    int requestClass();

    /** Its tenant, by the number in the settings. */
    int tenant();

    /** The key as a number for the policy. */
    long numericKey();

    /** The client's timeout in milliseconds. */
    long clientTimeoutMillis();

    /** Expected work in nanoseconds; 0 if unknown. */
    long expectedWorkNanos();

    /** Whether the client marks the request as a retry of its own. */
    boolean isClientRetry();

    /** Whether it changes what is stored. */
    boolean isWrite();

    /** Bytes of memory that it occupies until it is over. */
    int sizeBytes();

    /** Encodes it for a server, with the remaining timeout. The caller releases the buffer. */
    ByteBuf encode(ByteBufAllocator alloc, long remainingMillis);
}
