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

/** Reads records of running and stopped balancers from files. */
public final class CollectedRecords {
    private static final String FIRST_PART_SUFFIX = "-000000" + RecordFolder.SUFFIX;

    private CollectedRecords() {}

    /**
     * Reads all incarnations found in a folder and its subfolders.
     *
     * @param complaints receives a line for each unreadable file, which is skipped
     */
    public static List<IncarnationHistory> histories(Path folder, List<String> complaints)
            throws IOException {
        List<Path> folders;
        try (Stream<Path> all = Files.walk(folder)) {
            folders = all.filter(Files::isDirectory).sorted().toList();
        }
        List<IncarnationHistory> histories = new ArrayList<>();
        for (Path subfolder : folders) {
            Map<String, List<Path>> files = new LinkedHashMap<>();
            for (Path file : RecordFolder.files(subfolder)) {
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
                                parts.get(0).toString().endsWith(FIRST_PART_SUFFIX));
        if (history != null) {
            histories.add(history);
        } else if (!records.isEmpty()) {
            complaints.add(parts.get(0) + ": skipped, no start entry could be read");
        }
    }

    /** Reads a record that an admin server returned; null if no start entry could be read. */
    public static IncarnationHistory history(String source, byte[] record) {
        return IncarnationHistory.of(source, List.of(AuditRecord.read(record)), true);
    }
}
