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

/** Reads records from files, of balancers that run or have ended. */
public final class CollectedRecords {
    private static final String FIRST_PART_SUFFIX = "-000000" + RecordFolder.SUFFIX;

    private CollectedRecords() {}

    /**
     * All incarnations found in a folder and below it.
     *
     * @param complaints gets a line for each file that cannot be read, which is skipped
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
                                parts.get(0).toString().endsWith(FIRST_PART_SUFFIX));
        if (history != null) {
            histories.add(history);
        } else if (!records.isEmpty()) {
            complaints.add(parts.get(0) + ": its start cannot be read");
        }
    }

    /** A record as an admin server returned it; null if its start cannot be read. */
    public static IncarnationHistory history(String source, byte[] record) {
        return IncarnationHistory.of(source, List.of(AuditRecord.read(record)), true);
    }
}
