package frostrelay.healthreports;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import frostrelay.gossip.Incarnation;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;

/** Checks that report sections written by version 0.7.0 are read, and encoded to the same bytes. */
class FormerHealthReportFormatTest {
    private static final long INCARNATION = Incarnation.fromUnixMillis(1_790_000_000_000L);

    private static byte[] resource(String name) throws IOException {
        try (InputStream in =
                FormerHealthReportFormatTest.class.getResourceAsStream("format-0.7.0/" + name)) {
            assertNotNull(in, name);
            return in.readAllBytes();
        }
    }

    private static void assertReport(
            long cache,
            HealthReport report,
            long ageNanos,
            ByteBuffer in,
            ByteBuffer out,
            boolean relayed) {
        HealthReport.DecodedReport read = HealthReport.read(in, 3, INCARNATION, relayed);
        assertEquals(cache, read.cache());
        assertEquals(report, read.report());
        assertEquals(ageNanos, read.ageNanos());
        report.write(out, cache, ageNanos, relayed);
    }

    @Test
    void directReportsAreReadAndEncodedToTheSameBytes() throws IOException {
        byte[] section = resource("direct-reports.bin");
        ByteBuffer in = ByteBuffer.wrap(section);
        ByteBuffer out = ByteBuffer.allocate(section.length);
        int failedAndReset = AttemptObservation.FAILED.bit() | AttemptObservation.RESET.bit();
        assertReport(
                0x0123_4567_89ab_cdefL,
                new HealthReport(3, INCARNATION, 65_535, -5, 0, 2, failedAndReset),
                300_000_000L,
                in,
                out,
                false);
        assertReport(
                2,
                new HealthReport(3, INCARNATION, 1, 7, 255, 0, 0),
                25_500_000_000L,
                in,
                out,
                false);
        assertFalse(in.hasRemaining());
        assertArrayEquals(section, out.array());
    }

    @Test
    void relayedReportsAreReadAndEncodedToTheSameBytes() throws IOException {
        byte[] section = resource("relayed-reports.bin");
        ByteBuffer in = ByteBuffer.wrap(section);
        ByteBuffer out = ByteBuffer.allocate(section.length);
        int silent = AttemptObservation.SILENT.bit();
        int unreachableOrRejected =
                AttemptObservation.UNREACHABLE.bit() | AttemptObservation.TURNED_AWAY.bit();
        assertReport(
                4,
                new HealthReport(65_535, INCARNATION + 3, 9, 8, 0, 255, silent),
                0,
                in,
                out,
                true);
        assertReport(
                -1,
                new HealthReport(2, INCARNATION + 4, 10, 8, 0, 1, unreachableOrRejected),
                100_000_000L,
                in,
                out,
                true);
        assertFalse(in.hasRemaining());
        assertArrayEquals(section, out.array());
    }
}
