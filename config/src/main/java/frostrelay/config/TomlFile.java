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
 * Reads a TOML file and validates it against a schema. A file is either accepted as a whole or
 * rejected with all of its problems. The parser is tomlj, which reports the position of each key.
 */
public final class TomlFile {
    /** A larger file is rejected without being read. */
    private static final long MAX_FILE_BYTES = 4L << 20;

    /** Names that differ by more letters are not suggested as corrections. */
    private static final int MAX_EDIT_DISTANCE = 3;

    private static final int MAX_SHOWN_LENGTH = 60;

    private final String file;
    private final List<Problem> problems = new ArrayList<>();

    private TomlFile(String file) {
        this.file = file;
    }

    /**
     * Reads a file and returns its effective values.
     *
     * @throws BadConfigException with all problems, if the file cannot be read or is invalid
     */
    public static TableValues read(Path path, TableSchema schema) {
        String name = path.toString();
        String text;
        try {
            if (Files.size(path) > MAX_FILE_BYTES) {
                throw new BadConfigException(
                        List.of(
                                new Problem(
                                        name,
                                        0,
                                        "",
                                        Files.size(path) + " bytes",
                                        "at most " + MAX_FILE_BYTES + " bytes")));
            }
            text = Files.readString(path);
        } catch (CharacterCodingException e) {
            throw new BadConfigException(
                    List.of(new Problem(name, 0, "", "bytes that are not UTF-8", "UTF-8 text")));
        } catch (IOException e) {
            throw new BadConfigException(
                    List.of(
                            new Problem(
                                    name,
                                    0,
                                    "",
                                    "an unreadable file (" + e.getClass().getSimpleName() + ")",
                                    "a readable file")));
        }
        return parse(name, text, schema);
    }

    /**
     * Parses a text and returns its effective values.
     *
     * @param file name of the file for problems
     * @throws BadConfigException with all problems, if the text is invalid
     */
    public static TableValues parse(String file, String text, TableSchema schema) {
        TomlFile reader = new TomlFile(file);
        TomlParseResult toml = reader.parse(text);
        // After a syntax error, keys may be assigned to the wrong tables: keys are validated only
        // in a text without syntax errors.
        TableValues values = toml == null ? null : reader.readTable("", toml, schema, 1);
        if (!reader.problems.isEmpty()) {
            throw new BadConfigException(reader.problems);
        }
        return values;
    }

    /** Parses a text; after a syntax error, adds it to the problems and returns null. */
    private TomlParseResult parse(String text) {
        try {
            TomlParseResult toml = Toml.parse(text);
            toml.errors().forEach(this::addSyntaxError);
            return toml.hasErrors() ? null : toml;
        } catch (TomlParseError e) {
            // Some syntax errors, such as a bad escape in a key, are thrown instead of listed.
            addSyntaxError(e);
            return null;
        } catch (RuntimeException | AssertionError e) {
            // tomlj itself fails, without a position, on a string that ends within an escape.
            problems.add(
                    new Problem(
                            file,
                            0,
                            "",
                            "invalid TOML",
                            "TOML text without incomplete escape sequences"));
            return null;
        }
    }

    private void addSyntaxError(TomlParseError error) {
        problems.add(
                new Problem(
                        file,
                        error.position().line(),
                        "",
                        "invalid TOML",
                        String.valueOf(error.getMessage()).replaceAll("\\p{Cntrl}", " ")));
    }

    private static String join(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private static int lineOf(TomlTable toml, String name, int defaultLine) {
        TomlPosition at = toml.inputPositionOf(List.of(name));
        return at == null ? defaultLine : at.line();
    }

    private TableValues readTable(String path, TomlTable toml, TableSchema schema, int line) {
        for (String name : toml.keySet()) {
            if (!schema.keys.containsKey(name) && !schema.tables.containsKey(name)) {
                addUnknownKey(path, name, lineOf(toml, name, line), schema);
            }
        }
        Map<String, Object> values = new HashMap<>();
        for (Key key : schema.keys.values()) {
            Object raw = toml.get(List.of(key.name()));
            if (raw != null) {
                readValue(path, key, raw, lineOf(toml, key.name(), line), values);
            } else if (key.defaultValue() != null) {
                values.put(key.name(), key.defaultValue());
            } else {
                addProblem(line, join(path, key.name()), "nothing", key.allowed());
            }
        }
        Map<String, List<TableValues>> tables = new HashMap<>();
        schema.tables.forEach(
                (name, inner) ->
                        tables.put(
                                name,
                                inner.isList()
                                        ? readList(
                                                join(path, name),
                                                toml.get(List.of(name)),
                                                inner,
                                                lineOf(toml, name, line))
                                        : List.of(
                                                readNestedTable(
                                                        join(path, name),
                                                        toml.get(List.of(name)),
                                                        inner.table(),
                                                        lineOf(toml, name, line)))));
        return problems.isEmpty() ? new TableValues(schema, values, tables, line) : null;
    }

    private TableValues readNestedTable(String path, Object raw, TableSchema schema, int line) {
        if (raw != null && !(raw instanceof TomlTable)) {
            addProblem(line, path, abbreviate(raw), "a table");
            return emptyValues(schema);
        }
        TableValues values =
                readTable(path, raw == null ? Toml.parse("") : (TomlTable) raw, schema, line);
        return values == null ? emptyValues(schema) : values;
    }

    /** Returns a placeholder for an invalid table, so that the rest of the file is validated. */
    private static TableValues emptyValues(TableSchema schema) {
        return new TableValues(schema, Map.of(), Map.of(), 0);
    }

    private List<TableValues> readList(
            String path, Object raw, TableSchema.Nested inner, int line) {
        List<TableValues> list = new ArrayList<>();
        if (raw == null) {
            return list;
        }
        if (!(raw instanceof TomlArray array)
                || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            addProblem(
                    line, path, abbreviate(raw), "a list of tables, each headed [[" + path + "]]");
            return list;
        }
        if (array.size() > inner.max()) {
            addProblem(line, path, array.size() + " tables", "at most " + inner.max() + " tables");
            return list;
        }
        for (int i = 0; i < array.size(); i++) {
            list.add(
                    readNestedTable(
                            path + "[" + i + "]",
                            array.getTable(i),
                            inner.table(),
                            array.inputPositionOf(i).line()));
        }
        return list;
    }

    private void readValue(String path, Key key, Object raw, int line, Map<String, Object> values) {
        Object value = key.kind().parse(raw);
        if (value == null || !key.isAllowed(value)) {
            addProblem(line, join(path, key.name()), abbreviate(raw), key.allowed());
        } else {
            values.put(key.name(), value);
        }
    }

    private void addUnknownKey(String path, String name, int line, TableSchema schema) {
        String nearest = null;
        int nearestDistance = MAX_EDIT_DISTANCE + 1;
        LevenshteinDistance distance = new LevenshteinDistance(MAX_EDIT_DISTANCE);
        for (String known : schema.allowedNames()) {
            int editDistance = distance.apply(known, name);
            if (editDistance >= 0 && editDistance < nearestDistance) {
                nearestDistance = editDistance;
                nearest = known;
            }
        }
        addProblem(
                line,
                join(path, name),
                "an unknown key",
                nearest != null
                        ? "did you mean '" + nearest + "'?"
                        : String.join(", ", schema.allowedNames()));
    }

    private void addProblem(int line, String key, String found, String allowed) {
        problems.add(new Problem(file, line, key, found, allowed));
    }

    private static String abbreviate(Object raw) {
        String text =
                raw instanceof String
                        ? '"' + raw.toString() + '"'
                        : raw instanceof TomlTable
                                ? "a table"
                                : raw instanceof TomlArray ? "a list" : String.valueOf(raw);
        String line = text.replaceAll("\\p{Cntrl}", " ");
        return line.length() > MAX_SHOWN_LENGTH
                ? line.substring(0, MAX_SHOWN_LENGTH) + "..."
                : line;
    }
}
