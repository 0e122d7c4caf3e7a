package frostrelay.healthreports;

import frostrelay.gossip.Datagrams;
import frostrelay.gossip.PayloadProvider;

import java.nio.ByteBuffer;
import java.util.function.BiConsumer;

/** The sections that a payload provider would send to a peer. */
final class LoadedSections {
    private LoadedSections() {}

    /** All sections; empty for nothing. */
    static byte[] loadedFor(PayloadProvider provider, long now, int to) {
        ByteBuffer loaded = Datagrams.loaded(provider, now, to);
        byte[] all = new byte[loaded.remaining()];
        loaded.get(all);
        return all;
    }

    /** Hands out each section's type and content. */
    static void sections(byte[] all, BiConsumer<Integer, ByteBuffer> each) {
        ByteBuffer in = ByteBuffer.wrap(all);
        while (in.hasRemaining()) {
            int type = in.get() & 0xff;
            int length = in.get() & 0xff;
            each.accept(type, in.slice(in.position(), length));
            in.position(in.position() + length);
        }
    }
}
