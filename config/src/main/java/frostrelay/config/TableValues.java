package frostrelay.config;

import org.tomlj.Toml;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The effective values of one table: those of the file, or the defaults. Immutable. Access with a
 * name or type that does not match the schema is a programming error and throws a
 * NullPointerException or ClassCastException.
 */
public final class TableValues {
    private static final Pattern PATH_STEP = Pattern.compile("([^\\[]+)(?:\\[(\\d{1,6})])?");

    private final TableSchema schema;
    private final Map<String, Object> values;
    private final Map<String, List<TableValues>> tables;
    private final int line;

    TableValues(
            TableSchema schema,
            Map<String, Object> values,
            Map<String, List<TableValues>> tables,
            int line) {
        this.schema = schema;
        this.values = Map.copyOf(values);
        this.tables = Map.copyOf(tables);
        this.line = line;
    }

    /** Returns the line number from 1 at which the table begins; 0 if the file does not have it. */
    public int line() {
        return line;
    }

    /** Returns a duration in nanoseconds, a size in bytes, or a whole number. */
    public long whole(String name) {
        return (Long) value(name);
    }

    /** Returns a number, or a rate per second. */
    public double number(String name) {
        return (Double) value(name);
    }

    /** Returns a text or a choice. */
    public String text(String name) {
        return (String) value(name);
    }

    /** Returns a boolean. */
    public boolean bool(String name) {
        return (Boolean) value(name);
    }

    private Object value(String name) {
        return Objects.requireNonNull(values.get(name), name);
    }

    /** Returns the nested table of this name. */
    public TableValues table(String name) {
        return list(name).get(0);
    }

    /** Returns all nested tables of this name, in the order of the file. */
    public List<TableValues> list(String name) {
        return Objects.requireNonNull(tables.get(name), name);
    }

    /**
     * Returns a copy with one value replaced.
     *
     * @param path path of the key as in problems: {@code clients.rate} or {@code class[0].aim}
     * @param literal the value as in a file; quotes may be omitted
     * @param file file that requests the replacement, for problems
     * @param line line in that file, for problems
     * @throws BadConfigException if there is no such key or the value is not allowed
     */
    public TableValues with(String path, String literal, String file, int line) {
        int dot = path.indexOf('.');
        return dot >= 0
                ? withNestedValue(path, dot, literal, file, line)
                : withOwnValue(path, literal, file, line);
    }

    private TableValues withNestedValue(
            String path, int dot, String literal, String file, int line) {
        Matcher step = PATH_STEP.matcher(path.substring(0, dot));
        List<TableValues> list = step.matches() ? tables.get(step.group(1)) : null;
        int index = list == null || step.group(2) == null ? 0 : Integer.parseInt(step.group(2));
        if (list == null || index >= list.size()) {
            throw invalid(file, line, path, "an unknown table", String.join(", ", tables.keySet()));
        }
        List<TableValues> updated = new ArrayList<>(list);
        updated.set(index, list.get(index).with(path.substring(dot + 1), literal, file, line));
        Map<String, List<TableValues>> updatedTables = new HashMap<>(tables);
        updatedTables.put(step.group(1), List.copyOf(updated));
        return new TableValues(schema, values, updatedTables, this.line);
    }

    private TableValues withOwnValue(String path, String literal, String file, int line) {
        Key key = schema.keys.get(path);
        if (key == null) {
            throw invalid(
                    file, line, path, "an unknown key", String.join(", ", schema.allowedNames()));
        }
        String unquoted = literal.strip().replaceAll("^\"|\"$", "");
        Object number = Toml.parse("x = " + unquoted).get("x");
        Object value = key.kind().parse(unquoted);
        value = value == null && number != null ? key.kind().parse(number) : value;
        if (value == null || !key.isAllowed(value)) {
            throw invalid(file, line, path, literal, key.allowed());
        }
        Map<String, Object> updated = new HashMap<>(values);
        updated.put(path, value);
        return new TableValues(schema, updated, tables, this.line);
    }

    private static BadConfigException invalid(
            String file, int line, String path, String found, String allowed) {
        return new BadConfigException(List.of(new Problem(file, line, path, found, allowed)));
    }

    /** Returns a copy in which the list of this name is empty. */
    public TableValues without(String list) {
        Map<String, List<TableValues>> remainingTables = new HashMap<>(tables);
        remainingTables.put(list, List.of());
        return new TableValues(schema, values, remainingTables, line);
    }

    /** Returns all effective values as the text of a TOML file. */
    public String toToml() {
        StringBuilder text = new StringBuilder();
        toToml("", false, text);
        return text.toString();
    }

    private void toToml(String path, boolean isList, StringBuilder text) {
        if (!path.isEmpty()) {
            text.append(text.length() > 0 ? "\n" : "")
                    .append(isList ? "[[" : "[")
                    .append(path)
                    .append(isList ? "]]\n" : "]\n");
        }
        schema.keys.forEach(
                (name, key) ->
                        text.append(name)
                                .append(" = ")
                                .append(key.kind().format(values.get(name)))
                                .append('\n'));
        schema.tables.forEach(
                (name, inner) ->
                        list(name)
                                .forEach(
                                        nested ->
                                                nested.toToml(
                                                        path.isEmpty() ? name : path + "." + name,
                                                        inner.isList(),
                                                        text)));
    }
}
