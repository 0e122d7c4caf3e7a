package frostrelay.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Wire compatibility with version 0.7.0: this version decodes the same fields from recorded
 * sections and encodes the same bytes. The README of the resources describes the recording.
 */
class FormerVersionSectionsTest {
    private static final String RESOURCE = "sections-0.7.0.txt";

    private static List<String[]> lines() throws IOException {
        try (InputStream in = FormerVersionSectionsTest.class.getResourceAsStream(RESOURCE)) {
            assertNotNull(in, RESOURCE);
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII)
                    .lines()
                    .map(line -> line.split(" "))
                    .toList();
        }
    }

    @Test
    void decodesEveryFieldOfEverySection() throws IOException {
        Set<Integer> types = new TreeSet<>();
        for (String[] fields : lines()) {
            int type = Integer.parseInt(fields[0]);
            types.add(type);
            byte[] content = HexFormat.of().parseHex(fields[1]);
            assertEquals(fields[2], StalenessSections.decode(type, content), fields[1]);
        }
        assertEquals(Set.of(16, 17, 18, 19), types);
    }

    @Test
    void encodesTheSameBytesForTheSameReports() throws IOException {
        List<String> expected = new ArrayList<>();
        for (String[] fields : lines()) {
            expected.add(fields[0] + " " + fields[1]);
        }
        assertEquals(expected, StalenessSections.write());
    }
}
