package frostrelay.audit.store;

import frostrelay.audit.AuditRecord;
import frostrelay.audit.fleet.IncarnationHistory;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Reads the records that lie in folders, of balancers that live or are dead. */
public final class CollectedRecords {
    private CollectedRecords() {}

    /**
     * All lives found in a folder and below it. {@code complaints}: hears of files that hold
     * nothing readable, which are passed over.
     */
    public static List<IncarnationHistory> histories(Path folder, List<String> complaints)
            throws IOException {
        List<Path> folders;
        try (Stream<Path> all = Files.walk(folder)) {
            folders = all.filter(Files::isDirectory).sorted().toList();
        }
        List<IncarnationHistory> histories = new ArrayList<>();
        for (Path one : folders) {
            Map<String, List<Path>> files = new LinkedHashMap<>();
            for (Path file : RecordFolder.files(one)) {
                files.computeIfAbsent(
                                RecordFolder.incarnationOf(file), incarnation -> new ArrayList<>())
                        .add(file);
            }
            files.forEach((incarnation, parts) -> add(histories, parts, complaints));
        }
        return histories;
    }

    private static void add(
            List<IncarnationHistory> histories, List<Path> parts, List<String> complaints) {
        List<AuditRecord> records = new ArrayList<>();
        for (Path part : parts) {
            try {
                records.add(AuditRecord.read(Files.readAllBytes(part)));
            } catch (IOException | IllegalArgumentException e) {
                complaints.add(part + ": " + e.getMessage());
            }
        }
        IncarnationHistory history =
                records.isEmpty()
                        ? null
                        : IncarnationHistory.of(
                                parts.get(0).toString(),
                                records,
                                parts.get(0).toString().endsWith("-000000.rec"));
        if (history != null) {
            histories.add(history);
        } else if (!records.isEmpty()) {
            complaints.add(parts.get(0) + ": not even its start can be read");
        }
    }

    /** A record as a console gave it; null where not even its start can be read. */
    public static IncarnationHistory history(String source, byte[] record) {
        return IncarnationHistory.of(source, List.of(AuditRecord.read(record)), true);
    }
}
