package frostrelay.lifecycle;

import java.nio.ByteBuffer;

/**
 * How many descriptors a process has in use, for clients and for hosts: its balancer's processes
 * share one limit.
 */
public record Usage(int clients, int hosts) {
    static final Usage NONE = new Usage(0, 0);
    private static final int BYTES = 2 * Integer.BYTES;

    Usage plus(Usage other) {
        return new Usage(clients + other.clients, hosts + other.hosts);
    }

    ByteBuffer encode() {
        return ByteBuffer.allocate(BYTES).putInt(clients).putInt(hosts).flip();
    }

    /**
     * What was read, nothing where it is too short or cannot be: its writer may be about to write
     * it.
     */
    static Usage decode(ByteBuffer bytes) {
        if (bytes.remaining() < BYTES) {
            return NONE;
        }
        return new Usage(Math.max(0, bytes.getInt()), Math.max(0, bytes.getInt()));
    }

    static ByteBuffer buffer() {
        return ByteBuffer.allocate(BYTES);
    }
}
