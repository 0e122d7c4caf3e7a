package frostrelay.node.cluster;

import frostrelay.audit.Entry;
import frostrelay.audit.EntryRingBuffer;
import frostrelay.audit.Recorder;
import frostrelay.audit.store.RecordFolder;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;

import java.nio.file.Path;
import java.util.Locale;

/**
 * The storage of a balancer's audit record: memory, also a folder if one is configured, or none if
 * auditing is off. Used on the event loop; the folder reports failures from its own thread.
 */
final class AuditStorage implements Recorder, AutoCloseable {
    private final boolean enabled;
    private final EntryRingBuffer ringBuffer;

    /** Null without a folder. */
    private final RecordFolder folder;

    private volatile String failure;

    AuditStorage(ClusterOptions options, long incarnation) {
        enabled = options.auditEnabled();
        ringBuffer = new EntryRingBuffer(options.ringBytes());
        folder = enabled && options.recordFolder() != null ? open(options, incarnation) : null;
    }

    private RecordFolder open(ClusterOptions options, long incarnation) {
        String configured = System.getenv("TMPDIR");
        String temporaryFolder =
                configured == null || configured.isEmpty()
                        ? System.getProperty("java.io.tmpdir")
                        : configured;
        return new RecordFolder(
                Path.of(temporaryFolder).resolve(options.recordFolder()),
                String.format(Locale.ROOT, "%016x", incarnation),
                options.maxFolderBytes(),
                reason -> {
                    failure = reason;
                    Log.write(Event.AUDIT_GAP, reason);
                });
    }

    @Override
    public void append(Entry entry) {
        if (!enabled) {
            return;
        }
        ringBuffer.append(entry);
        if (folder != null) {
            folder.append(entry);
        }
    }

    /** Returns the record in memory, or null if auditing is off. */
    byte[] record() {
        return enabled ? ringBuffer.record() : null;
    }

    /** Returns the kind of storage and the latest failure, for operators. */
    String describe() {
        if (folder == null) {
            return "memory";
        }
        String lastFailure = failure;
        return lastFailure == null ? "folder" : "folder, lacking: " + lastFailure;
    }

    @Override
    public void close() {
        if (folder != null) {
            folder.close();
        }
    }
}
