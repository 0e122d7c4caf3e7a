package frostrelay.node.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.encoder.EncoderBase;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

import org.slf4j.event.KeyValuePair;

import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Encodes each event as one line of JSON or text. Logback's own JSON encoder writes fields as a
 * list of pairs, and its patterns open a time zone file for the first line, which would fail if
 * that line reports a lack of file descriptors.
 */
final class LineEncoder extends EncoderBase<ILoggingEvent> {
    private static final int MAX_TEXT_LENGTH = 2_000;
    private static final JsonFactory JSON = new JsonFactory();
    private final boolean isJson;

    LineEncoder(boolean isJson) {
        this.isJson = isJson;
    }

    @Override
    public byte[] headerBytes() {
        return null;
    }

    @Override
    public byte[] footerBytes() {
        return null;
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        Map<String, Object> fields = fields(event);
        String time = Instant.ofEpochMilli(event.getTimeStamp()).toString();
        String level = event.getLevel().toString().toLowerCase(Locale.ROOT);
        String balancer =
                event.getLoggerContextVO().getPropertyMap().get(LogSetup.BALANCER_PROPERTY);
        boolean isBalancerEvent = event.getLoggerName().equals(Log.NAME);
        String name = isBalancerEvent ? event.getMessage() : Event.LIBRARY_WARNING.logName();
        return (isJson
                        ? json(time, level, name, balancer, fields)
                        : text(time, level, name, balancer, fields))
                .getBytes(StandardCharsets.UTF_8);
    }

    private static Map<String, Object> fields(ILoggingEvent event) {
        Map<String, Object> fields = new LinkedHashMap<>();
        if (!event.getLoggerName().equals(Log.NAME)) {
            fields.put("logger", event.getLoggerName());
            fields.put("message", event.getFormattedMessage());
            IThrowableProxy thrown = event.getThrowableProxy();
            if (thrown != null) {
                fields.put("exception", thrown.getClassName() + ": " + thrown.getMessage());
            }
        }
        List<KeyValuePair> pairs = event.getKeyValuePairs();
        if (pairs != null) {
            pairs.forEach(pair -> fields.put(pair.key, pair.value));
        }
        return fields;
    }

    private static String json(
            String time, String level, String name, String balancer, Map<String, Object> fields) {
        StringWriter line = new StringWriter(256);
        try (JsonGenerator out = JSON.createGenerator(line)) {
            out.writeStartObject();
            out.writeStringField("time", time);
            out.writeStringField("level", level);
            out.writeStringField("event", name);
            if (balancer != null) {
                out.writeStringField("balancer", balancer);
            }
            for (Map.Entry<String, Object> field : fields.entrySet()) {
                out.writeFieldName(field.getKey());
                writeValue(out, field.getValue());
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return line.append('\n').toString();
    }

    private static void writeValue(JsonGenerator out, Object value) throws IOException {
        if (value instanceof Double || value instanceof Float) {
            out.writeNumber(((Number) value).doubleValue());
        } else if (value instanceof Number number) {
            out.writeNumber(number.longValue());
        } else if (value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else if (value instanceof Iterable<?> list) {
            out.writeStartArray();
            for (Object item : list) {
                writeValue(out, item);
            }
            out.writeEndArray();
        } else if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.writeFieldName(String.valueOf(entry.getKey()));
                writeValue(out, entry.getValue());
            }
            out.writeEndObject();
        } else {
            out.writeString(format(value));
        }
    }

    private static String text(
            String time, String level, String name, String balancer, Map<String, Object> fields) {
        List<String> pairs = new ArrayList<>();
        // Text from a peer must not end a line or forge another line.
        fields.forEach(
                (key, value) -> pairs.add(key + "=" + format(value).replaceAll("\\p{Cntrl}", "?")));
        return time
                + ' '
                + String.format(Locale.ROOT, "%-5s", level)
                + ' '
                + (balancer == null ? "" : balancer + ' ')
                + name
                + (pairs.isEmpty() ? "" : "  ")
                + String.join(" ", pairs)
                + '\n';
    }

    private static String format(Object value) {
        String text =
                value instanceof InetSocketAddress address
                        ? address.getHostString() + ':' + address.getPort()
                        : String.valueOf(value);
        return text.length() > MAX_TEXT_LENGTH ? text.substring(0, MAX_TEXT_LENGTH) + "..." : text;
    }
}
