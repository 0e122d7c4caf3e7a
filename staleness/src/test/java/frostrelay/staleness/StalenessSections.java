package frostrelay.staleness;

import frostrelay.gossip.PayloadSections;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;

/** A fixed sequence of reports of every kind, encoded as sections. */
final class StalenessSections implements StalenessCodec.Listener {
    private static final int REPORTED_PEER = 1;
    private static final int UP_TO_DATE_PEER = 2;
    private static final long CONFIG_DIGEST = 0x0102_0304_0506_0708L;
    private static final int PACKED_BYTES = 450;
    private static final long READ_AT_NANOS = 12L;
    private static final int READ_FROM = 3;

    private final StringBuilder decoded = new StringBuilder();

    /** Returns the sections as text lines: type and hexadecimal content. */
    static List<String> write() {
        List<String> lines = new ArrayList<>();
        StalenessCodec codec = new StalenessCodec((rank, digest) -> rank == UP_TO_DATE_PEER);
        addPayload(lines, codec, REPORTED_PEER);
        codec.setAdminDrains(0x1122_3344_5566_7788L, Set.of(9L, 5L, 1L << 40, -3L));
        codec.setVersionFailing(VersionKind.CONFIG, 7, true);
        codec.setVersionFailing(VersionKind.LIST, 9, false);
        addPayload(lines, codec, REPORTED_PEER);
        addPayload(lines, codec, UP_TO_DATE_PEER);
        addPayload(lines, codec, REPORTED_PEER);
        codec.clearVersionFailing(VersionKind.CONFIG);
        addPayload(lines, codec, REPORTED_PEER);
        codec.setAdminDrains(0, Set.of());
        addPayload(lines, codec, REPORTED_PEER);
        ByteBuffer request = StalenessCodec.encodePieceRequest(CONFIG_DIGEST, 300);
        lines.add(line(StalenessCodec.pieceRequestType(), request));
        byte[] packed = new byte[PACKED_BYTES];
        for (int i = 0; i < packed.length; i++) {
            packed[i] = (byte) (i * 7);
        }
        for (int piece = 0; piece < 3; piece++) {
            ByteBuffer content = StalenessCodec.encodePiece(CONFIG_DIGEST, piece, packed);
            lines.add(line(StalenessCodec.pieceType(), content));
        }
        return lines;
    }

    private static void addPayload(List<String> lines, StalenessCodec codec, int destination) {
        ByteBuffer sections = PayloadSections.write(codec, 0, destination);
        while (sections.hasRemaining()) {
            int type = sections.get() & 0xff;
            int length = sections.get() & 0xff;
            lines.add(line(type, sections.slice(sections.position(), length)));
            sections.position(sections.position() + length);
        }
    }

    private static String line(int type, ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        return type + " " + HexFormat.of().formatHex(bytes);
    }

    /** Returns all fields that are decoded from a section. */
    static String decode(int type, byte[] content) {
        StalenessSections listener = new StalenessSections();
        StalenessCodec.read(READ_AT_NANOS, READ_FROM, type, ByteBuffer.wrap(content), listener);
        return listener.decoded.toString();
    }

    private void add(Object... fields) {
        for (Object field : fields) {
            decoded.append(decoded.length() == 0 ? "" : ":").append(field);
        }
    }

    @Override
    public void onPeerAdminDrain(long now, int from, long digest, long cache) {
        add("drain", now, from, digest, cache);
    }

    @Override
    public void onVersionFailing(
            long now, int from, VersionKind kind, long number, boolean isFailing) {
        add("failing", now, from, kind, number, isFailing);
    }

    @Override
    public void onPieceRequested(long now, int from, long digest, int piece) {
        add("request", now, from, digest, piece);
    }

    @Override
    public void onPiece(long now, int from, long digest, int piece, int count, byte[] content) {
        add("piece", now, from, digest, piece, count, HexFormat.of().formatHex(content));
    }
}
