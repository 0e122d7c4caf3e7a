package frostrelay.node.log;

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
 * Log lines are well-formed with any input from peers, and the page on events documents all events.
 */
class LogTest {
    private static String encodeLine(
            boolean json, String logger, String message, KeyValuePair... fields) {
        LoggerContext context = new LoggerContext();
        context.putProperty(LogSetup.BALANCER_PROPERTY, "n3");
        LoggingEvent event =
                new LoggingEvent("", context.getLogger(logger), Level.WARN, message, null, null);
        event.setTimeStamp(0);
        event.setKeyValuePairs(List.of(fields));
        return new String(new LineEncoder(json).encode(event), StandardCharsets.UTF_8);
    }

    @Test
    void peersCannotBreakOrForgeLines() throws Exception {
        String maliciousText = "x\"}\n{\"level\":\"error\"\u001b[31m" + "y".repeat(10_000);
        String json =
                encodeLine(
                        true,
                        Log.NAME,
                        "protocol-violation",
                        new KeyValuePair("detail", maliciousText));
        assertEquals(1, json.lines().count());
        Map<String, Object> parsed = JSON.std.mapFrom(json);
        assertEquals("protocol-violation", parsed.get("event"));
        assertEquals("n3", parsed.get("balancer"));
        assertEquals("1970-01-01T00:00:00Z", parsed.get("time"));
        assertTrue(
                ((String) parsed.get("detail")).startsWith("x\"}\n{"),
                "unchanged except for truncation");
        assertTrue(json.length() < 2_200);
        String text =
                encodeLine(
                        false,
                        Log.NAME,
                        "protocol-violation",
                        new KeyValuePair("detail", maliciousText));
        assertEquals(1, text.lines().count());
        assertFalse(text.contains("\u001b"));
    }

    @Test
    void fieldsKeepTheirTypes() throws Exception {
        Map<String, Object> parsed =
                JSON.std.mapFrom(
                        encodeLine(
                                true,
                                Log.NAME,
                                "counts",
                                new KeyValuePair("counts", Map.of("accepted", 7L)),
                                new KeyValuePair("part", 0.5),
                                new KeyValuePair("replaced", true),
                                new KeyValuePair(
                                        "listen",
                                        new java.net.InetSocketAddress("127.0.0.1", 11211)),
                                new KeyValuePair("classes", List.of("a", "b"))));
        assertEquals(Map.of("accepted", 7), parsed.get("counts"));
        assertEquals(0.5, parsed.get("part"));
        assertEquals(true, parsed.get("replaced"));
        assertEquals("127.0.0.1:11211", parsed.get("listen"));
        assertEquals(List.of("a", "b"), parsed.get("classes"));
        assertEquals(
                "io.netty.x",
                JSON.std.mapFrom(encodeLine(true, "io.netty.x", "no {} there")).get("logger"));
    }

    @Test
    void anEventIsWrittenWithItsDeclaredFieldsOnly() {
        assertThrows(IllegalArgumentException.class, () -> Log.write(Event.SERVING, "a"));
    }

    /** {@code -Dfrostrelay.write-pages=true} regenerates the page. */
    @Test
    void thePageDocumentsEveryEvent() throws Exception {
        Path page = Path.of("../docs/events.md");
        if (Boolean.getBoolean("frostrelay.write-pages")) {
            Files.writeString(page, Event.renderDocumentation());
        }
        assertEquals(Event.renderDocumentation(), Files.readString(page));
    }
}
