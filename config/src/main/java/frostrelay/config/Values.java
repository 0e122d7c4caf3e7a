package frostrelay.config;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The values in force of one table: those of the file, and the standard ones where it has none. Immutable. A name or a
 * kind that the form does not have is a fault of the program and told by an exception.
 */
public final class Values {
    private final Table form;
    private final Map<String, Object> values;
    private final Map<String, List<Values>> tables;
    private final int line;

    Values(Table form, Map<String, Object> values, Map<String, List<Values>> tables, int line) {
        this.form = form;
        this.values = Map.copyOf(values);
        this.tables = Map.copyOf(tables);
        this.line = line;
    }

    /** Where the table begins in its file, from 1 on; 0 where the file does not have it. */
    public int line() {
        return line;
    }

    /** Nanoseconds of a duration, bytes of a size, or a whole number. */
    public long whole(String name) {
        return (Long) value(name);
    }

    /** A number, or a rate a second. */
    public double number(String name) {
        return (Double) value(name);
    }

    /** A text or a choice. */
    public String text(String name) {
        return (String) value(name);
    }

    /** Yes or no. */
    public boolean bool(String name) {
        return (Boolean) value(name);
    }

    private Object value(String name) {
        return Objects.requireNonNull(values.get(name), name);
    }

    /** The one table of this name. */
    public Values table(String name) {
        return list(name).get(0);
    }

    /** All tables of this name, in the order of the file. */
    public List<Values> list(String name) {
        return Objects.requireNonNull(tables.get(name), name);
    }

    /** Everything in force, as a file would say it. */
    public String write() {
        StringBuilder text = new StringBuilder();
        write("", false, text);
        return text.toString();
    }

    private void write(String path, boolean list, StringBuilder text) {
        if (!path.isEmpty()) {
            text.append(text.length() > 0 ? "\n" : "").append(list ? "[[" : "[").append(path)
                    .append(list ? "]]\n" : "]\n");
        }
        form.keys.forEach((name, key) -> text.append(name).append(" = ").append(key.kind().write(values.get(name)))
                .append('\n'));
        form.tables.forEach((name, inner) -> list(name)
                .forEach(one -> one.write(path.isEmpty() ? name : path + "." + name, inner.list(), text)));
    }
}
