package frostrelay.node.lifecycle;

import java.nio.ByteBuffer;

/**
 * How many descriptors a process has in use, for clients and for hosts: its balancer's processes
 * share one limit.
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
     * What was read, nothing where it is too short or cannot be: its writer may be about to write
     * it.
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
