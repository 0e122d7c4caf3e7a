package frostrelay.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The schema of a table: its keys, nested tables and lists of tables. The methods that add a key or
 * table return this schema; a null default makes a key required.
 */
public final class TableSchema {
    /**
     * A table within a table.
     *
     * @param isList whether it is a list, written as [[name]] at most {@code max} times
     */
    record Nested(TableSchema table, boolean isList, int max) {}

    final String purpose;
    final Map<String, Key> keys = new LinkedHashMap<>();
    final Map<String, Nested> tables = new LinkedHashMap<>();

    /**
     * Creates an empty schema.
     *
     * @param purpose one sentence for the users who write the file
     */
    public TableSchema(String purpose) {
        this.purpose = purpose;
    }

    /** Adds a duration; the default and bounds have the same form as in a file. */
    public TableSchema duration(
            String name, String defaultValue, String min, String max, String purpose) {
        return quantity(name, Kind.DURATION, defaultValue, min, max, purpose);
    }

    /** Adds a number of bytes; the default and bounds have the same form as in a file. */
    public TableSchema bytes(
            String name, String defaultValue, String min, String max, String purpose) {
        return quantity(name, Kind.BYTES, defaultValue, min, max, purpose);
    }

    /** Adds a number per second; the default and bounds have the same form as in a file. */
    public TableSchema rate(
            String name, String defaultValue, String min, String max, String purpose) {
        return quantity(name, Kind.RATE, defaultValue, min, max, purpose);
    }

    private TableSchema quantity(
            String name, Kind kind, String defaultValue, String min, String max, String purpose) {
        return add(
                new Key(
                        name,
                        kind,
                        defaultValue == null ? null : kind.parse(defaultValue),
                        ((Number) kind.parse(min)).doubleValue(),
                        ((Number) kind.parse(max)).doubleValue(),
                        List.of(),
                        purpose));
    }

    /** Adds a whole number. */
    public TableSchema whole(String name, Long defaultValue, long min, long max, String purpose) {
        return add(new Key(name, Kind.WHOLE, defaultValue, min, max, List.of(), purpose));
    }

    /** Adds a number, which may have a fraction. */
    public TableSchema number(
            String name, Double defaultValue, double min, double max, String purpose) {
        return add(new Key(name, Kind.NUMBER, defaultValue, min, max, List.of(), purpose));
    }

    /** Adds a text, which must not be blank. */
    public TableSchema text(String name, String defaultValue, String purpose) {
        return add(new Key(name, Kind.TEXT, defaultValue, 0, 0, List.of(), purpose));
    }

    /** Adds a text with a fixed set of allowed values. */
    public TableSchema choice(
            String name, String defaultValue, List<String> choices, String purpose) {
        return add(new Key(name, Kind.CHOICE, defaultValue, 0, 0, choices, purpose));
    }

    /** Adds a boolean. */
    public TableSchema bool(String name, boolean defaultValue, String purpose) {
        return add(new Key(name, Kind.BOOL, defaultValue, 0, 0, List.of(), purpose));
    }

    private TableSchema add(Key key) {
        keys.put(key.name(), key);
        return this;
    }

    /** Adds a nested table. */
    public TableSchema table(String name, TableSchema inner) {
        tables.put(name, new Nested(inner, false, 1));
        return this;
    }

    /** Adds a list of at most {@code max} nested tables. */
    public TableSchema list(String name, int max, TableSchema inner) {
        tables.put(name, new Nested(inner, true, max));
        return this;
    }

    List<String> allowedNames() {
        List<String> names = new ArrayList<>(keys.keySet());
        names.addAll(tables.keySet());
        return names;
    }

    /** Describes the schema in Markdown, with a table of keys for each table of the file. */
    public String describe() {
        StringBuilder text = new StringBuilder();
        describe("", false, text);
        return text.toString();
    }

    private void describe(String path, boolean isList, StringBuilder text) {
        if (!path.isEmpty()) {
            text.append("### ")
                    .append(isList ? "`[[" : "`[")
                    .append(path)
                    .append(isList ? "]]`" : "]`")
                    .append("\n\n")
                    .append(purpose)
                    .append("\n\n");
        }
        if (!keys.isEmpty()) {
            text.append("| key | allowed | without it | meaning |\n| --- | --- | --- | --- |\n");
            for (Key key : keys.values()) {
                text.append("| `")
                        .append(key.name())
                        .append("` | ")
                        .append(key.allowed())
                        .append(" | ")
                        .append(
                                key.defaultValue() == null
                                        ? "refused"
                                        : "`" + key.kind().format(key.defaultValue()) + "`")
                        .append(" | ")
                        .append(key.purpose())
                        .append(" |\n");
            }
            text.append('\n');
        }
        tables.forEach(
                (name, inner) ->
                        inner.table()
                                .describe(
                                        path.isEmpty() ? name : path + "." + name,
                                        inner.isList(),
                                        text));
    }
}
