package frostrelay.node.memcache;

import frostrelay.node.config.EndpointList;
import frostrelay.node.proxy.ClientRequest;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;

import java.nio.charset.StandardCharsets;

/**
 * A client's read or write, validated by {@link MetaCommandParser}, with the data needed to forward
 * it unchanged except for the remaining timeout.
 */
public final class MetaCommand implements ClientRequest {
    private static final int MAX_HEX_KEY_LENGTH = 16;

    private final boolean write;
    private final String key;
    private final String opaque;

    /** The value to store; null for a read. */
    private final byte[] value;

    private final int requestClass;
    private final int tenant;
    private final long clientTimeoutMillis;
    private final boolean clientRetry;
    private final long expectedWorkNanos;

    /** The client's parameters as {@code name=value}, in its order. */
    private final String[] parameters;

    private final int timeoutParameterIndex;

    MetaCommand(
            boolean write,
            String key,
            String opaque,
            byte[] value,
            int requestClass,
            int tenant,
            long clientTimeoutMillis,
            boolean clientRetry,
            long expectedWorkNanos,
            String[] parameters,
            int timeoutParameterIndex) {
        this.write = write;
        this.key = key;
        this.opaque = opaque;
        this.value = value;
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.clientTimeoutMillis = clientTimeoutMillis;
        this.clientRetry = clientRetry;
        this.expectedWorkNanos = expectedWorkNanos;
        this.parameters = parameters;
        this.timeoutParameterIndex = timeoutParameterIndex;
    }

    @Override
    public String id() {
        return opaque;
    }

    @Override
    public int requestClass() {
        return requestClass;
    }

    @Override
    public int tenant() {
        return tenant;
    }

    @Override
    public long clientTimeoutMillis() {
        return clientTimeoutMillis;
    }

    @Override
    public long expectedWorkNanos() {
        return expectedWorkNanos;
    }

    @Override
    public boolean isClientRetry() {
        return clientRetry;
    }

    @Override
    public boolean isWrite() {
        return write;
    }

    @Override
    public int sizeBytes() {
        return value == null ? 0 : value.length;
    }

    /**
     * Returns the key as a number for the policy: the value of a hexadecimal key, or the hash of
     * any other key, by a function that all balancers share.
     */
    @Override
    public long numericKey() {
        try {
            if (key.length() <= MAX_HEX_KEY_LENGTH) {
                return Long.parseUnsignedLong(key, 16);
            }
        } catch (NumberFormatException e) {
            // Not a hexadecimal key: hashed below.
        }
        return EndpointList.serverId(key);
    }

    /** Encodes the command for a cache server, as received except for the remaining timeout. */
    @Override
    public ByteBuf encode(ByteBufAllocator alloc, long remainingMillis) {
        String[] forwardedParameters = parameters.clone();
        forwardedParameters[timeoutParameterIndex] = "d=" + remainingMillis;
        String line =
                (write ? "ms " + key + " " + value.length : "mg " + key + " v")
                        + " O"
                        + opaque
                        + " P"
                        + String.join(",", forwardedParameters)
                        + "\r\n";
        return encodeLine(alloc, line, value);
    }

    /**
     * Encodes a line and its data block, if {@code data} is not null. The line must end in CRLF;
     * the CRLF after the data block is added here. The caller releases the buffer.
     */
    private static ByteBuf encodeLine(ByteBufAllocator alloc, String line, byte[] data) {
        ByteBuf bytes = alloc.buffer(line.length() + (data == null ? 0 : data.length + 2));
        bytes.writeCharSequence(line, StandardCharsets.ISO_8859_1);
        if (data != null) {
            bytes.writeBytes(data);
            ByteBufUtil.writeShortBE(bytes, '\r' << 8 | '\n');
        }
        return bytes;
    }
}
