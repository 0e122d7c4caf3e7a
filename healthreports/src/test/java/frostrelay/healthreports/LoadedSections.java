package frostrelay.healthreports;

import frostrelay.gossip.Datagrams;
import frostrelay.gossip.PayloadProvider;

import java.nio.ByteBuffer;
import java.util.function.BiConsumer;

/** Access to the sections that a payload provider would send to a peer. */
final class LoadedSections {
    private LoadedSections() {}

    /** Returns all sections that are due for a peer; empty if there are none. */
    static byte[] sectionsFor(PayloadProvider provider, long now, int to) {
        ByteBuffer loaded = Datagrams.loaded(provider, now, to);
        byte[] all = new byte[loaded.remaining()];
        loaded.get(all);
        return all;
    }

    /** Passes the type and content of each section to {@code consumer}. */
    static void sections(byte[] all, BiConsumer<Integer, ByteBuffer> consumer) {
        ByteBuffer in = ByteBuffer.wrap(all);
        while (in.hasRemaining()) {
            int type = in.get() & 0xff;
            int length = in.get() & 0xff;
            consumer.accept(type, in.slice(in.position(), length));
            in.position(in.position() + length);
        }
    }
}
