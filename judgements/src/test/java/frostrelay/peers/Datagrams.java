package frostrelay.peers;

import java.nio.ByteBuffer;

/** A datagram's room, for tests of what other modules load into it. */
public final class Datagrams {
    private Datagrams() {}

    /** The sections that cargo loads into an empty datagram for a balancer. */
    public static ByteBuffer loaded(Cargo cargo, long now, int to) {
        ByteBuffer out = ByteBuffer.allocate(Datagram.MOST);
        cargo.load(now, to, new Hold(out).under(Datagram.MOST));
        return out.flip();
    }
}
