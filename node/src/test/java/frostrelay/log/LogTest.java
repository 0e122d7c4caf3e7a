package frostrelay.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;

import com.fasterxml.jackson.jr.ob.JSON;

import org.junit.jupiter.api.Test;
import org.slf4j.event.KeyValuePair;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Lines that programs read stay whole whatever peers put into them, and the page on events says
 * what there is.
 */
class LogTest {
    private static String line(
            boolean json, String logger, String message, KeyValuePair... fields) {
        LoggerContext context = new LoggerContext();
        context.putProperty(LogSetup.BALANCER, "n3");
        LoggingEvent event =
                new LoggingEvent("", context.getLogger(logger), Level.WARN, message, null, null);
        event.setTimeStamp(0);
        event.setKeyValuePairs(List.of(fields));
        return new String(new LineEncoder(json).encode(event), StandardCharsets.UTF_8);
    }

    @Test
    void aPeerCannotBreakALineOrForgeOne() throws Exception {
        String hostile = "x\"}\n{\"level\":\"error\"\u001b[31m" + "y".repeat(10_000);
        String json = line(true, Log.NAME, "peer", new KeyValuePair("what", hostile));
        assertEquals(1, json.lines().count());
        Map<String, Object> read = JSON.std.mapFrom(json);
        assertEquals("peer", read.get("event"));
        assertEquals("n3", read.get("balancer"));
        assertEquals("1970-01-01T00:00:00Z", read.get("time"));
        assertTrue(
                ((String) read.get("what")).startsWith("x\"}\n{"),
                "as it came, but for its length");
        assertTrue(json.length() < 2_200);
        String text = line(false, Log.NAME, "peer", new KeyValuePair("what", hostile));
        assertEquals(1, text.lines().count());
        assertFalse(text.contains("\u001b"));
    }

    @Test
    void fieldsKeepTheirTypes() throws Exception {
        Map<String, Object> read =
                JSON.std.mapFrom(
                        line(
                                true,
                                Log.NAME,
                                "counts",
                                new KeyValuePair("counts", Map.of("taken", 7L)),
                                new KeyValuePair("part", 0.5),
                                new KeyValuePair("replaced", true),
                                new KeyValuePair(
                                        "listen",
                                        new java.net.InetSocketAddress("127.0.0.1", 11211)),
                                new KeyValuePair("classes", List.of("a", "b"))));
        assertEquals(Map.of("taken", 7), read.get("counts"));
        assertEquals(0.5, read.get("part"));
        assertEquals(true, read.get("replaced"));
        assertEquals("127.0.0.1:11211", read.get("listen"));
        assertEquals(List.of("a", "b"), read.get("classes"));
        assertEquals(
                "io.netty.x",
                JSON.std.mapFrom(line(true, "io.netty.x", "no {} there")).get("logger"));
    }

    @Test
    void anEventIsWrittenWithItsOwnFieldsOnly() {
        assertThrows(IllegalArgumentException.class, () -> Log.write(Event.SERVES, "a"));
    }

    /** {@code -Dfrostrelay.write-pages=true} writes the page anew. */
    @Test
    void thePageNamesEveryEvent() throws Exception {
        Path page = Path.of("../docs/events.md");
        if (Boolean.getBoolean("frostrelay.write-pages")) {
            Files.writeString(page, Event.page());
        }
        assertEquals(Event.page(), Files.readString(page));
    }
}
