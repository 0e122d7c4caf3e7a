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
 * The values in force of one table: those of the file, and the standard ones where it has none.
 * Immutable. A name or a kind that the form does not have is a fault of the program and told by an
 * exception.
 */
public final class Values {
    private static final Pattern STEP = Pattern.compile("([^\\[]+)(?:\\[(\\d{1,6})])?");

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

    /**
     * The same values but for one. {@code path}: as problems name keys, {@code clients.rate} or
     * {@code class[0].aim}; {@code literal}: as a file has it, quotes left out or not. Throws
     * {@link BadConfigException}; {@code file} and {@code line} are where it was asked for.
     */
    public Values with(String path, String literal, String file, int line) {
        int dot = path.indexOf('.');
        if (dot >= 0) {
            Matcher step = STEP.matcher(path.substring(0, dot));
            List<Values> all = step.matches() ? tables.get(step.group(1)) : null;
            int place = all == null || step.group(2) == null ? 0 : Integer.parseInt(step.group(2));
            if (all == null || place >= all.size()) {
                throw refused(
                        file,
                        line,
                        path,
                        "a table that is not there",
                        String.join(", ", tables.keySet()));
            }
            List<Values> fresh = new ArrayList<>(all);
            fresh.set(place, all.get(place).with(path.substring(dot + 1), literal, file, line));
            Map<String, List<Values>> others = new HashMap<>(tables);
            others.put(step.group(1), List.copyOf(fresh));
            return new Values(form, values, others, this.line);
        }
        Key key = form.keys.get(path);
        if (key == null) {
            throw refused(file, line, path, "an unknown key", String.join(", ", form.names()));
        }
        String plain = literal.strip().replaceAll("^\"|\"$", "");
        Object number = Toml.parse("x = " + plain).get("x");
        Object value = key.kind().read(plain);
        value = value == null && number != null ? key.kind().read(number) : value;
        if (value == null || !key.admits(value)) {
            throw refused(file, line, path, literal, key.allowed());
        }
        Map<String, Object> fresh = new HashMap<>(values);
        fresh.put(path, value);
        return new Values(form, fresh, tables, this.line);
    }

    private static BadConfigException refused(
            String file, int line, String path, String found, String allowed) {
        return new BadConfigException(List.of(new Problem(file, line, path, found, allowed)));
    }

    /** The same values with none of a list's tables. */
    public Values without(String list) {
        Map<String, List<Values>> others = new HashMap<>(tables);
        others.put(list, List.of());
        return new Values(form, values, others, line);
    }

    /** Everything in force, as a file would say it. */
    public String write() {
        StringBuilder text = new StringBuilder();
        write("", false, text);
        return text.toString();
    }

    private void write(String path, boolean list, StringBuilder text) {
        if (!path.isEmpty()) {
            text.append(text.length() > 0 ? "\n" : "")
                    .append(list ? "[[" : "[")
                    .append(path)
                    .append(list ? "]]\n" : "]\n");
        }
        form.keys.forEach(
                (name, key) ->
                        text.append(name)
                                .append(" = ")
                                .append(key.kind().write(values.get(name)))
                                .append('\n'));
        form.tables.forEach(
                (name, inner) ->
                        list(name)
                                .forEach(
                                        one ->
                                                one.write(
                                                        path.isEmpty() ? name : path + "." + name,
                                                        inner.list(),
                                                        text)));
    }
}
