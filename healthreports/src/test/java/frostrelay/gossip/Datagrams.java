package frostrelay.gossip;

import java.nio.ByteBuffer;

/** Access to the payload of an empty datagram, for tests of payload providers in other modules. */
public final class Datagrams {
    private Datagrams() {}

    /** Returns the sections that a provider writes into an empty datagram for a balancer. */
    public static ByteBuffer loaded(PayloadProvider provider, long now, int to) {
        ByteBuffer out = ByteBuffer.allocate(GossipDatagram.MAX_BYTES);
        provider.writeSections(
                now, to, new PayloadBuffer(out).withMaxBytes(GossipDatagram.MAX_BYTES));
        return out.flip();
    }
}
