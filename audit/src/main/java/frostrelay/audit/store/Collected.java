package frostrelay.audit.store;

import frostrelay.audit.Record;
import frostrelay.audit.fleet.Life;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Reads the records that lie in folders, of balancers that live or are dead. */
public final class Collected {
    private Collected() {}

    /**
     * All lives found in a folder and below it. {@code complaints}: hears of files that hold
     * nothing readable, which are passed over.
     */
    public static List<Life> lives(Path folder, List<String> complaints) throws IOException {
        List<Path> folders;
        try (Stream<Path> all = Files.walk(folder)) {
            folders = all.filter(Files::isDirectory).sorted().toList();
        }
        List<Life> lives = new ArrayList<>();
        for (Path one : folders) {
            Map<String, List<Path>> files = new LinkedHashMap<>();
            for (Path file : RecordFolder.files(one)) {
                files.computeIfAbsent(RecordFolder.life(file), life -> new ArrayList<>()).add(file);
            }
            files.forEach((life, parts) -> add(lives, parts, complaints));
        }
        return lives;
    }

    private static void add(List<Life> lives, List<Path> parts, List<String> complaints) {
        List<Record> records = new ArrayList<>();
        for (Path part : parts) {
            try {
                records.add(Record.read(Files.readAllBytes(part)));
            } catch (IOException | IllegalArgumentException e) {
                complaints.add(part + ": " + e.getMessage());
            }
        }
        Life life =
                records.isEmpty()
                        ? null
                        : Life.of(
                                parts.get(0).toString(),
                                records,
                                parts.get(0).toString().endsWith("-000000.rec"));
        if (life != null) {
            lives.add(life);
        } else if (!records.isEmpty()) {
            complaints.add(parts.get(0) + ": not even its start can be read");
        }
    }

    /** A record as a console gave it; null where not even its start can be read. */
    public static Life life(String source, byte[] record) {
        return Life.of(source, List.of(Record.read(record)), true);
    }
}
