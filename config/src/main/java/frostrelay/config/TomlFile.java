package frostrelay.config;

import org.apache.commons.text.similarity.LevenshteinDistance;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads a TOML file by a form: whole or not at all, and with every problem told. TOML by tomlj,
 * which keeps where each key stands.
 */
public final class TomlFile {
    /** A larger file is nobody's configuration. */
    private static final long MOST_BYTES = 4L << 20;

    /** Names that differ by more letters are not taken for a slip. */
    private static final int MOST_SLIPS = 3;

    private static final int MOST_SHOWN = 60;

    private final String file;
    private final List<Problem> problems = new ArrayList<>();

    private TomlFile(String file) {
        this.file = file;
    }

    /**
     * The values in force; throws {@link BadConfigException} with all problems if there are any.
     */
    public static Values read(Path path, Table form) {
        String name = path.toString();
        String text;
        try {
            if (Files.size(path) > MOST_BYTES) {
                throw new BadConfigException(
                        List.of(
                                new Problem(
                                        name,
                                        0,
                                        "",
                                        Files.size(path) + " bytes",
                                        "at most " + MOST_BYTES)));
            }
            text = Files.readString(path);
        } catch (CharacterCodingException e) {
            throw new BadConfigException(
                    List.of(new Problem(name, 0, "", "bytes that are no UTF-8", "UTF-8 text")));
        } catch (IOException e) {
            throw new BadConfigException(
                    List.of(
                            new Problem(
                                    name,
                                    0,
                                    "",
                                    "nothing that can be read ("
                                            + e.getClass().getSimpleName()
                                            + ")",
                                    "a file")));
        }
        return parse(name, text, form);
    }

    /** Likewise from a text; {@code file} is how problems name it. */
    public static Values parse(String file, String text, Table form) {
        TomlFile reader = new TomlFile(file);
        TomlParseResult toml = reader.parse(text);
        // What stands behind a slip in the text may belong elsewhere: keys are looked at only in a
        // sound text.
        Values values = toml == null ? null : reader.table("", toml, form, 1);
        if (!reader.problems.isEmpty()) {
            throw new BadConfigException(reader.problems);
        }
        return values;
    }

    /** A sound text as tables; null where it is none, with what is wrong noted. */
    private TomlParseResult parse(String text) {
        try {
            TomlParseResult toml = Toml.parse(text);
            toml.errors().forEach(this::noToml);
            return toml.hasErrors() ? null : toml;
        } catch (TomlParseError e) {
            // Some slips, as a bad escape in a key, are thrown instead of listed.
            noToml(e);
            return null;
        } catch (RuntimeException | AssertionError e) {
            // A quote that ends within an escape makes the parser itself fail; it does not say
            // where.
            problems.add(
                    new Problem(
                            file,
                            0,
                            "",
                            "no TOML",
                            "text that can be parsed, as no escape cut short"));
            return null;
        }
    }

    private void noToml(TomlParseError error) {
        problems.add(
                new Problem(
                        file,
                        error.position().line(),
                        "",
                        "no TOML",
                        String.valueOf(error.getMessage()).replaceAll("\\p{Cntrl}", " ")));
    }

    private static String join(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private static int line(TomlTable toml, String name, int otherwise) {
        TomlPosition at = toml.inputPositionOf(List.of(name));
        return at == null ? otherwise : at.line();
    }

    private Values table(String path, TomlTable toml, Table form, int line) {
        for (String name : toml.keySet()) {
            if (!form.keys.containsKey(name) && !form.tables.containsKey(name)) {
                unknown(path, name, line(toml, name, line), form);
            }
        }
        Map<String, Object> values = new HashMap<>();
        for (Key key : form.keys.values()) {
            Object raw = toml.get(List.of(key.name()));
            if (raw != null) {
                value(path, key, raw, line(toml, key.name(), line), values);
            } else if (key.standard() != null) {
                values.put(key.name(), key.standard());
            } else {
                problem(line, join(path, key.name()), "nothing", key.allowed());
            }
        }
        Map<String, List<Values>> tables = new HashMap<>();
        form.tables.forEach(
                (name, inner) ->
                        tables.put(
                                name,
                                inner.list()
                                        ? list(
                                                join(path, name),
                                                toml.get(List.of(name)),
                                                inner,
                                                line(toml, name, line))
                                        : List.of(
                                                inner(
                                                        join(path, name),
                                                        toml.get(List.of(name)),
                                                        inner.table(),
                                                        line(toml, name, line)))));
        return problems.isEmpty() ? new Values(form, values, tables, line) : null;
    }

    private Values inner(String path, Object raw, Table form, int line) {
        if (raw != null && !(raw instanceof TomlTable)) {
            problem(line, path, show(raw), "a table");
            return none(form);
        }
        Values values = table(path, raw == null ? Toml.parse("") : (TomlTable) raw, form, line);
        return values == null ? none(form) : values;
    }

    /** Stands in a file that is refused as a whole, so that the rest of it can be looked at. */
    private static Values none(Table form) {
        return new Values(form, Map.of(), Map.of(), 0);
    }

    private List<Values> list(String path, Object raw, Table.Inner inner, int line) {
        List<Values> list = new ArrayList<>();
        if (raw == null) {
            return list;
        }
        if (!(raw instanceof TomlArray array)
                || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            problem(line, path, show(raw), "a list of tables, each headed [[" + path + "]]");
            return list;
        }
        if (array.size() > inner.most()) {
            problem(line, path, array.size() + " tables", "at most " + inner.most());
            return list;
        }
        for (int i = 0; i < array.size(); i++) {
            list.add(
                    inner(
                            path + "[" + i + "]",
                            array.getTable(i),
                            inner.table(),
                            array.inputPositionOf(i).line()));
        }
        return list;
    }

    private void value(String path, Key key, Object raw, int line, Map<String, Object> values) {
        Object value = key.kind().read(raw);
        if (value == null || !key.admits(value)) {
            problem(line, join(path, key.name()), show(raw), key.allowed());
        } else {
            values.put(key.name(), value);
        }
    }

    private void unknown(String path, String name, int line, Table form) {
        String nearest = null;
        int slips = MOST_SLIPS + 1;
        LevenshteinDistance distance = new LevenshteinDistance(MOST_SLIPS);
        for (String known : form.names()) {
            int apart = distance.apply(known, name);
            if (apart >= 0 && apart < slips) {
                slips = apart;
                nearest = known;
            }
        }
        problem(
                line,
                join(path, name),
                "an unknown key",
                nearest != null
                        ? "did you mean '" + nearest + "'?"
                        : String.join(", ", form.names()));
    }

    private void problem(int line, String key, String found, String allowed) {
        problems.add(new Problem(file, line, key, found, allowed));
    }

    private static String show(Object raw) {
        String text =
                raw instanceof String
                        ? '"' + raw.toString() + '"'
                        : raw instanceof TomlTable
                                ? "a table"
                                : raw instanceof TomlArray ? "a list" : String.valueOf(raw);
        String line = text.replaceAll("\\p{Cntrl}", " ");
        return line.length() > MOST_SHOWN ? line.substring(0, MOST_SHOWN) + "..." : line;
    }
}
