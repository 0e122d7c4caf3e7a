package frostrelay.gossip;

import java.nio.ByteBuffer;

/** A datagram's room, for tests of what other modules load into it. */
public final class Datagrams {
    private Datagrams() {}

    /** The sections that cargo loads into an empty datagram for a balancer. */
    public static ByteBuffer loaded(PayloadProvider cargo, long now, int to) {
        ByteBuffer out = ByteBuffer.allocate(GossipDatagram.MAX_BYTES);
        cargo.writeSections(now, to, new PayloadBuffer(out).withMaxBytes(GossipDatagram.MAX_BYTES));
        return out.flip();
    }
}
