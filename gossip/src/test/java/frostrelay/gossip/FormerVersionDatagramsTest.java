package frostrelay.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32C;

/**
 * Wire compatibility with version 0.7.0: this version decodes the same fields from recorded
 * datagrams and encodes the same bytes. The README of the resources describes the recording.
 */
class FormerVersionDatagramsTest {
    private static final String RESOURCE = "datagrams-0.7.0.txt";

    /**
     * Number of fields that precede the decoded ones: index, time, sender, receiver, revision,
     * bytes.
     */
    private static final int LEADING_FIELDS = 6;

    private static List<String> lines() throws IOException {
        try (InputStream in = FormerVersionDatagramsTest.class.getResourceAsStream(RESOURCE)) {
            assertNotNull(in, RESOURCE);
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII).lines().toList();
        }
    }

    private static RecordedCluster.Sent parse(String[] fields) {
        return new RecordedCluster.Sent(
                Long.parseLong(fields[1]),
                Integer.parseInt(fields[2]),
                Integer.parseInt(fields[3]),
                Integer.parseInt(fields[4]),
                HexFormat.of().parseHex(fields[5]));
    }

    @Test
    void decodesEveryFieldOfEveryKindAndSection() throws IOException {
        Set<GossipDatagram.Kind> kinds = EnumSet.noneOf(GossipDatagram.Kind.class);
        Set<SectionType> types = EnumSet.noneOf(SectionType.class);
        List<String> lines = lines();
        for (String line : lines.subList(1, lines.size())) {
            String[] fields = line.split(" ", LEADING_FIELDS + 1);
            RecordedCluster.Sent sent = parse(fields);
            assertNull(GossipDatagram.validate(sent.data(), sent.data().length), line);
            assertEquals(fields[LEADING_FIELDS], RecordedCluster.decode(sent), line);
            GossipDatagram datagram = GossipDatagram.read(sent.data(), sent.data().length);
            kinds.add(datagram.kind);
            collectTypes(datagram.sections, types);
        }
        assertEquals(EnumSet.complementOf(EnumSet.of(GossipDatagram.Kind.UNKNOWN)), kinds);
        assertEquals(EnumSet.allOf(SectionType.class), types);
    }

    private static void collectTypes(ByteBuffer sections, Set<SectionType> types) {
        while (sections.hasRemaining()) {
            SectionType type = SectionType.fromCode(sections.get() & 0xff);
            if (type != null) {
                types.add(type);
            }
            sections.position(sections.position() + 1 + (sections.get(sections.position()) & 0xff));
        }
    }

    /** Compares all datagrams of the scenario by a checksum, and the listed ones byte by byte. */
    @Test
    void encodesTheSameBytesForTheSameInput() throws IOException {
        RecordedCluster cluster = new RecordedCluster();
        cluster.run();
        List<String> lines = lines();
        for (String line : lines.subList(1, lines.size())) {
            String[] fields = line.split(" ", LEADING_FIELDS + 1);
            RecordedCluster.Sent sent = cluster.sent.get(Integer.parseInt(fields[0]));
            assertEquals(parse(fields).toLine(), sent.toLine());
        }
        assertEquals(lines.get(0), summary(cluster.sent));
    }

    /** Returns the number of datagrams, and a checksum of their text lines. */
    static String summary(List<RecordedCluster.Sent> sent) {
        CRC32C checksum = new CRC32C();
        for (RecordedCluster.Sent datagram : sent) {
            checksum.update((datagram.toLine() + "\n").getBytes(StandardCharsets.US_ASCII));
        }
        return sent.size() + " " + Long.toHexString(checksum.getValue());
    }
}
