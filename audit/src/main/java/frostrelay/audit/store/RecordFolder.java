package frostrelay.audit.store;

import frostrelay.audit.Codec;
import frostrelay.audit.Entry;
import frostrelay.audit.FramedEntries;
import frostrelay.audit.Preamble;
import frostrelay.audit.Recorder;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An incarnation's record in append-only files, written by a dedicated thread because an event loop
 * must not wait for a disk. SIGKILL loses the entries of the last {@link #WRITE_INTERVAL_MILLIS};
 * written entries survive in the page cache, and files are not synced against a crash of the
 * machine. A file name consists of incarnation and part number; the oldest files are deleted when
 * the folder reaches its size limit. {@link #append} only adds to a buffer; it must be called from
 * one thread.
 */
public final class RecordFolder implements Recorder, AutoCloseable {
    /** Pending entries are written this often. */
    public static final long WRITE_INTERVAL_MILLIS = 100;

    static final String SUFFIX = ".rec";

    /**
     * Limit on pending entries; further ones are dropped and reported as a gap, so that a hanging
     * disk cannot fill the heap.
     */
    private static final int MAX_PENDING_BYTES = 512 * 1024;

    private static final int MAX_PARTS = 8;

    private final Path folder;
    private final String incarnation;
    private final long maxPartBytes;
    private final Consumer<String> onFailure;
    private final ScheduledExecutorService writer =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "audit");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final Object lock = new Object();

    /**
     * Preamble of all entries before the pending ones, including lost ones. Guarded by {@link
     * #lock}.
     */
    private final Preamble preamble = new Preamble();

    private ByteBuffer pending = ByteBuffer.allocate(64 * 1024);
    private long lostEntries;
    private long lostFromNanos;
    private String lostReason = "";

    // The fields below are used only by the writer thread, and by close() after that thread ended.
    private FileChannel partChannel;
    private Path partFile;
    private int partCount;
    private long headBytes;
    private long partBytesWritten;
    private boolean failing;

    /**
     * Starts the writer thread.
     *
     * @param incarnation prefix of the file names; must sort after those of earlier incarnations
     * @param maxBytes bound on the size of all files in the folder
     * @param onFailure called on the writer thread with the reason, once when writes begin to fail
     */
    public RecordFolder(
            Path folder, String incarnation, long maxBytes, Consumer<String> onFailure) {
        this.folder = folder;
        this.incarnation = incarnation;
        this.maxPartBytes = maxBytes / MAX_PARTS;
        this.onFailure = onFailure;
        writer.scheduleWithFixedDelay(
                this::writePending,
                WRITE_INTERVAL_MILLIS,
                WRITE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void append(Entry entry) {
        synchronized (lock) {
            if (lostEntries > 0 && pending.position() == 0) {
                // All pending entries were written or rejected: retry the disk, starting with the
                // gap.
                long previouslyLost = lostEntries;
                lostEntries = 0;
                enqueue(new Entry.Gap(entry.atNanos(), lostFromNanos, previouslyLost, lostReason));
            }
            enqueue(entry);
        }
    }

    private void enqueue(Entry entry) {
        byte[] bytes = FramedEntries.encode(entry);
        if (lostEntries > 0 || pending.position() + bytes.length > MAX_PENDING_BYTES) {
            preamble.observe(entry);
            recordLoss(entry.atNanos(), 1, "the disk did not keep up");
            return;
        }
        if (pending.remaining() < bytes.length) {
            ByteBuffer enlarged =
                    ByteBuffer.allocate(Math.min(MAX_PENDING_BYTES, 2 * pending.capacity()));
            pending.flip();
            enlarged.put(pending);
            pending = enlarged;
        }
        pending.put(bytes);
    }

    private void recordLoss(long fromNanos, long entries, String reason) {
        if (lostEntries == 0 || fromNanos < lostFromNanos) {
            lostFromNanos = fromNanos;
            lostReason = reason;
        }
        lostEntries += entries;
    }

    /** Writes pending entries. A failed write truncates the file to its last complete entry. */
    private void writePending() {
        byte[] bytes;
        synchronized (lock) {
            if (pending.position() == 0) {
                return;
            }
            bytes = new byte[pending.position()];
            pending.flip().get(bytes);
            pending.clear();
        }
        int from = 0;
        try {
            while (from < bytes.length) {
                if (partChannel == null || partBytesWritten >= maxPartBytes) {
                    openNextPart();
                }
                int to =
                        FramedEntries.endOfFittingEntries(
                                bytes, from, maxPartBytes - partBytesWritten);
                ByteBuffer out = ByteBuffer.wrap(bytes, from, to - from);
                while (out.hasRemaining()) {
                    partChannel.write(out, partBytesWritten + out.position() - from);
                }
                if (partBytesWritten == headBytes) {
                    deleteOldestParts();
                }
                partBytesWritten += to - from;
                synchronized (lock) {
                    FramedEntries.entries(Arrays.copyOfRange(bytes, from, to))
                            .forEach(preamble::observe);
                }
                from = to;
            }
            failing = false;
        } catch (IOException | RuntimeException e) {
            onWriteFailed(Arrays.copyOfRange(bytes, from, bytes.length), e);
        }
    }

    private void onWriteFailed(byte[] bytes, Exception e) {
        try {
            if (partChannel != null) {
                // The failed write may be partial. The next write uses another file, as the fault
                // may affect only this one.
                partChannel.truncate(partBytesWritten);
                partChannel.close();
                if (partBytesWritten == headBytes) {
                    Files.deleteIfExists(partFile);
                }
            }
        } catch (IOException ignored) {
            // A reader stops at the truncated entry anyway.
        }
        partChannel = null;
        synchronized (lock) {
            for (Entry entry : FramedEntries.entries(bytes)) {
                // A gap that could not be written becomes part of the next one.
                boolean gap = entry instanceof Entry.Gap;
                preamble.observe(entry);
                recordLoss(
                        gap ? ((Entry.Gap) entry).fromNanos() : entry.atNanos(),
                        gap ? ((Entry.Gap) entry).lostEntries() : 1,
                        "the disk refused it");
            }
        }
        if (!failing) {
            failing = true;
            onFailure.accept(String.valueOf(e));
        }
    }

    /** Opens the next part; deletes it again if its preamble cannot be written. */
    private void openNextPart() throws IOException {
        if (partChannel != null) {
            partChannel.close();
            partChannel = null;
        }
        Files.createDirectories(folder);
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        head.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(Codec.MAGIC).array());
        synchronized (lock) {
            // Without earlier entries, written or lost, the record begins with its start entry.
            if (!preamble.isEmpty()) {
                preamble.entries().forEach(entry -> head.writeBytes(FramedEntries.encode(entry)));
            }
        }
        partFile =
                folder.resolve(
                        String.format(Locale.ROOT, "%s-%06d%s", incarnation, partCount, SUFFIX));
        FileChannel channel =
                FileChannel.open(partFile, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        try {
            ByteBuffer out = ByteBuffer.wrap(head.toByteArray());
            while (out.hasRemaining()) {
                channel.write(out, out.position());
            }
        } catch (IOException e) {
            channel.close();
            Files.deleteIfExists(partFile);
            throw e;
        }
        partChannel = channel;
        headBytes = head.size();
        partBytesWritten = headBytes;
        partCount++;
    }

    private void deleteOldestParts() throws IOException {
        List<Path> files = files(folder);
        for (int i = 0; i + MAX_PARTS < files.size(); i++) {
            Files.deleteIfExists(files.get(i));
        }
    }

    /** Returns the files of all incarnations in a folder, oldest first. */
    public static List<Path> files(Path folder) throws IOException {
        List<Path> files = new ArrayList<>();
        if (Files.isDirectory(folder)) {
            try (DirectoryStream<Path> found = Files.newDirectoryStream(folder, "*" + SUFFIX)) {
                found.forEach(files::add);
            }
        }
        files.sort(null);
        return files;
    }

    /** Returns the incarnation at the start of a file name. */
    public static String incarnationOf(Path file) {
        String name = file.getFileName().toString();
        return name.substring(0, Math.max(0, name.lastIndexOf('-')));
    }

    @Override
    public void close() {
        writer.shutdown();
        try {
            writer.awaitTermination(WRITE_INTERVAL_MILLIS * 5, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        writePending();
        try {
            if (partChannel != null) {
                partChannel.close();
            }
        } catch (IOException e) {
            onFailure.accept(e.toString());
        }
    }
}
