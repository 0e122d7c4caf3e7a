package frostrelay.node.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * What a client asks for, checked, whatever protocol it speaks: as much as a request's life needs
 * to know of it.
 */
public interface ClientRequest {
    /** Under which its hosts know the request. */
    String id();

    /** Its class and tenant, by their numbers in the settings. */
    int requestClass();

    int tenant();

    /** The key as the module's number. */
    long numericKey();

    /** How long the client waits, in milliseconds. */
    long clientTimeoutMillis();

    /** Expected work in nanoseconds, 0 if not told. */
    long expectedWorkNanos();

    /** Whether the client says that it asks again. */
    boolean isClientRetry();

    boolean isWrite();

    /** Bytes that it holds until it is over. */
    int sizeBytes();

    /** As a host is told it, with how long is left to wait. */
    ByteBuf encode(ByteBufAllocator alloc, long remainingMillis);
}
