package frostrelay.counters;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;

/**
 * Checks that a counter section written by version 0.7.0 is read, and encoded to the same bytes.
 */
class FormerCounterFormatTest {
    @Test
    void countersAreReadAndEncodedToTheSameBytes() throws IOException {
        byte[] section;
        try (InputStream in =
                FormerCounterFormatTest.class.getResourceAsStream("format-0.7.0/counters.bin")) {
            assertNotNull(in);
            section = in.readAllBytes();
        }
        assertTrue(GrowOnlyCounters.isComplete(ByteBuffer.wrap(section)));
        GrowOnlyCounters read = GrowOnlyCounters.read(5, ByteBuffer.wrap(section));
        assertEquals(5, read.startedAtUnixMillis());
        assertEquals(1, read.valueOf(ClusterCounter.FIRST_TRIES));
        assertEquals(255, read.valueOf(ClusterCounter.REPEATS));
        assertEquals(256, read.valueOf(ClusterCounter.SENDS));
        assertEquals(0xffff_ffffL, read.valueOf(ClusterCounter.ENDS));
        assertEquals(0x1_0000_0000L, read.valueOf(ClusterCounter.COPIES));
        assertEquals(0xff_ffff_ffffL, read.valueOf(ClusterCounter.FETCHES));
        assertEquals(0, read.valueOf(ClusterCounter.FAILED));
        assertEquals(123_456_789_012L, read.valueOf(ClusterCounter.REFUSED));
        ByteBuffer out = ByteBuffer.allocate(section.length);
        read.write(out);
        assertArrayEquals(section, out.array());
    }
}
