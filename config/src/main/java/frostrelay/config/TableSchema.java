package frostrelay.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The form of a table: its keys and the tables in it, single ones and lists of them. */
public final class TableSchema {
    /**
     * A table within a table. {@code isList}: written as [[name]], any number of times up to {@code
     * most}.
     */
    record Nested(TableSchema table, boolean isList, int max) {}

    final String purpose;
    final Map<String, Key> keys = new LinkedHashMap<>();
    final Map<String, Nested> tables = new LinkedHashMap<>();

    /** {@code purpose}: one sentence for the people who write the file. */
    public TableSchema(String purpose) {
        this.purpose = purpose;
    }

    /** A length of time; bounds and standard in the form of a file. */
    public TableSchema duration(
            String name, String defaultValue, String min, String max, String purpose) {
        return quantity(name, Kind.DURATION, defaultValue, min, max, purpose);
    }

    /** A number of bytes; bounds and standard in the form of a file. */
    public TableSchema bytes(
            String name, String defaultValue, String min, String max, String purpose) {
        return quantity(name, Kind.BYTES, defaultValue, min, max, purpose);
    }

    /** A number a second; bounds and standard in the form of a file. */
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

    /** A whole number. */
    public TableSchema whole(String name, Long defaultValue, long min, long max, String purpose) {
        return add(new Key(name, Kind.WHOLE, defaultValue, min, max, List.of(), purpose));
    }

    /** A number, whole or not. */
    public TableSchema number(
            String name, Double defaultValue, double min, double max, String purpose) {
        return add(new Key(name, Kind.NUMBER, defaultValue, min, max, List.of(), purpose));
    }

    /** A text that is not blank; null where the file must have one. */
    public TableSchema text(String name, String defaultValue, String purpose) {
        return add(new Key(name, Kind.TEXT, defaultValue, 0, 0, List.of(), purpose));
    }

    /** One of some words; null where the file must have one. */
    public TableSchema choice(
            String name, String defaultValue, List<String> choices, String purpose) {
        return add(new Key(name, Kind.CHOICE, defaultValue, 0, 0, choices, purpose));
    }

    /** Yes or no. */
    public TableSchema bool(String name, boolean defaultValue, String purpose) {
        return add(new Key(name, Kind.BOOL, defaultValue, 0, 0, List.of(), purpose));
    }

    private TableSchema add(Key key) {
        keys.put(key.name(), key);
        return this;
    }

    /** A table within this one. */
    public TableSchema table(String name, TableSchema inner) {
        tables.put(name, new Nested(inner, false, 1));
        return this;
    }

    /** A list of tables within this one, of at most {@code max}. */
    public TableSchema list(String name, int max, TableSchema inner) {
        tables.put(name, new Nested(inner, true, max));
        return this;
    }

    List<String> allowedNames() {
        List<String> names = new ArrayList<>(keys.keySet());
        names.addAll(tables.keySet());
        return names;
    }

    /** The form in Markdown, a table of keys for each table of the file. */
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
