package frostrelay.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import java.nio.ByteBuffer;

class GossipDatagramTest {
    @Property(tries = 500)
    void singleBitErrorIsDetected(@ForAll @IntRange(max = 26 * 8 - 1) int bit) {
        ByteBuffer datagram = ByteBuffer.allocate(GossipDatagram.MAX_BYTES);
        GossipDatagram.begin(
                datagram, GossipDatagram.WIRE_VERSION, GossipDatagram.Kind.PING, 1, 77, 1, 0xffff);
        datagram.put((byte) 9).put((byte) 0);
        int length = GossipDatagram.finish(datagram);
        assertEquals(null, GossipDatagram.validate(datagram.array(), length));
        datagram.array()[bit / 8] ^= (byte) (1 << bit % 8);
        assertNotEquals(null, GossipDatagram.validate(datagram.array(), length));
    }
}
