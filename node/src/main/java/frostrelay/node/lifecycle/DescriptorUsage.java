package frostrelay.node.lifecycle;

import java.nio.ByteBuffer;

/**
 * The number of file descriptors that a process uses for client and for upstream connections. All
 * processes of a balancer share one limit.
 */
public record DescriptorUsage(int clients, int upstreams) {
    static final DescriptorUsage NONE = new DescriptorUsage(0, 0);
    private static final int ENCODED_BYTES = 2 * Integer.BYTES;

    DescriptorUsage plus(DescriptorUsage other) {
        return new DescriptorUsage(clients + other.clients, upstreams + other.upstreams);
    }

    ByteBuffer encode() {
        return ByteBuffer.allocate(ENCODED_BYTES).putInt(clients).putInt(upstreams).flip();
    }

    /**
     * Decodes the result of {@link #encode}. Returns {@link #NONE} for too few bytes, since the
     * writer may not have written yet; negative counts become 0.
     */
    static DescriptorUsage decode(ByteBuffer bytes) {
        if (bytes.remaining() < ENCODED_BYTES) {
            return NONE;
        }
        return new DescriptorUsage(Math.max(0, bytes.getInt()), Math.max(0, bytes.getInt()));
    }

    static ByteBuffer allocateBuffer() {
        return ByteBuffer.allocate(ENCODED_BYTES);
    }
}
