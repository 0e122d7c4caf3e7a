package frostrelay.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The form of a table: its keys and the tables in it, single ones and lists of them. */
public final class Table {
    /**
     * A table within a table. {@code list}: written as [[name]], any number of times up to {@code
     * most}.
     */
    record Inner(Table table, boolean list, int most) {}

    final String purpose;
    final Map<String, Key> keys = new LinkedHashMap<>();
    final Map<String, Inner> tables = new LinkedHashMap<>();

    /** {@code purpose}: one sentence for the people who write the file. */
    public Table(String purpose) {
        this.purpose = purpose;
    }

    /** A length of time; bounds and standard in the form of a file. */
    public Table duration(String name, String standard, String least, String most, String purpose) {
        return quantity(name, Kind.DURATION, standard, least, most, purpose);
    }

    /** A number of bytes; bounds and standard in the form of a file. */
    public Table bytes(String name, String standard, String least, String most, String purpose) {
        return quantity(name, Kind.BYTES, standard, least, most, purpose);
    }

    /** A number a second; bounds and standard in the form of a file. */
    public Table rate(String name, String standard, String least, String most, String purpose) {
        return quantity(name, Kind.RATE, standard, least, most, purpose);
    }

    private Table quantity(
            String name, Kind kind, String standard, String least, String most, String purpose) {
        return add(
                new Key(
                        name,
                        kind,
                        standard == null ? null : kind.read(standard),
                        ((Number) kind.read(least)).doubleValue(),
                        ((Number) kind.read(most)).doubleValue(),
                        List.of(),
                        purpose));
    }

    /** A whole number. */
    public Table whole(String name, Long standard, long least, long most, String purpose) {
        return add(new Key(name, Kind.WHOLE, standard, least, most, List.of(), purpose));
    }

    /** A number, whole or not. */
    public Table number(String name, Double standard, double least, double most, String purpose) {
        return add(new Key(name, Kind.NUMBER, standard, least, most, List.of(), purpose));
    }

    /** A text that is not blank; null where the file must have one. */
    public Table text(String name, String standard, String purpose) {
        return add(new Key(name, Kind.TEXT, standard, 0, 0, List.of(), purpose));
    }

    /** One of some words; null where the file must have one. */
    public Table choice(String name, String standard, List<String> choices, String purpose) {
        return add(new Key(name, Kind.CHOICE, standard, 0, 0, choices, purpose));
    }

    /** Yes or no. */
    public Table bool(String name, boolean standard, String purpose) {
        return add(new Key(name, Kind.BOOL, standard, 0, 0, List.of(), purpose));
    }

    private Table add(Key key) {
        keys.put(key.name(), key);
        return this;
    }

    /** A table within this one. */
    public Table table(String name, Table inner) {
        tables.put(name, new Inner(inner, false, 1));
        return this;
    }

    /** A list of tables within this one, of at most {@code most}. */
    public Table list(String name, int most, Table inner) {
        tables.put(name, new Inner(inner, true, most));
        return this;
    }

    List<String> names() {
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

    private void describe(String path, boolean list, StringBuilder text) {
        if (!path.isEmpty()) {
            text.append("### ")
                    .append(list ? "`[[" : "`[")
                    .append(path)
                    .append(list ? "]]`" : "]`")
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
                                key.standard() == null
                                        ? "refused"
                                        : "`" + key.kind().write(key.standard()) + "`")
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
                                        inner.list(),
                                        text));
    }
}
