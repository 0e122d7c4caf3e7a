package frostrelay.gossip;

import java.nio.ByteBuffer;

/** Access for tests of this module to the sections that a provider writes. */
public final class PayloadSections {
    private PayloadSections() {}

    /** Returns the sections that a provider writes into an empty datagram for a member. */
    public static ByteBuffer write(PayloadProvider provider, long now, int destination) {
        ByteBuffer out = ByteBuffer.allocate(GossipDatagram.MAX_BYTES);
        PayloadBuffer buffer = new PayloadBuffer(out).withMaxBytes(GossipDatagram.MAX_BYTES);
        provider.writeSections(now, destination, buffer);
        return out.flip();
    }
}
