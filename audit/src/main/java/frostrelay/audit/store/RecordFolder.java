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
 * A life's record in files that are only appended to, written by a thread of its own: an event loop
 * must not wait for a disk. What SIGKILL can take is what came within the last {@link
 * #WRITE_INTERVAL_MILLIS}; what was written the system keeps, as no machine dies. Names of the
 * files: life, then part; parts of one life belong together, the oldest go first where the folder's
 * bound is met. {@link #append} may come from one thread; it only adds to a buffer.
 */
public final class RecordFolder implements Recorder, AutoCloseable {
    /** The stated tail: what is not on its way to the disk yet is not older than this. */
    public static final long WRITE_INTERVAL_MILLIS = 100;

    private static final String SUFFIX = ".rec";

    /**
     * Waiting entries beyond this are dropped and named as a gap: a disk that hangs must not eat
     * the heap.
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
                        Thread fresh = new Thread(task, "audit");
                        fresh.setDaemon(true);
                        return fresh;
                    });
    private final Object lock = new Object();

    /**
     * Of all entries that came before those that wait, also of those that were lost. Under the
     * lock.
     */
    private final Preamble preamble = new Preamble();

    private ByteBuffer pending = ByteBuffer.allocate(64 * 1024);
    private long lostEntries;
    private long lostFromNanos;
    private String lostReason = "";
    // Of the thread.
    private FileChannel partChannel;
    private Path partFile;
    private int partCount;
    private long headBytes;
    private long partBytesWritten;
    private boolean failing;

    /**
     * {@code incarnation}: names this life's files, later lives sort behind earlier ones; {@code
     * maxBytes}: bytes that all files of the folder may take; {@code onFailure}: hears on the
     * writer's thread, once a spell, why nothing can be written.
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
                // What waited has been written, or was refused: the disk is tried again, with the
                // gap named first.
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
            ByteBuffer wider =
                    ByteBuffer.allocate(Math.min(MAX_PENDING_BYTES, 2 * pending.capacity()));
            pending.flip();
            wider.put(pending);
            pending = wider;
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

    /** Writes what waits. A write that fails leaves the file cut back to its last whole entry. */
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
                // What the disk refused may stand there in part. Another file may be taken where
                // this one is not.
                partChannel.truncate(partBytesWritten);
                partChannel.close();
                if (partBytesWritten == headBytes) {
                    Files.deleteIfExists(partFile);
                }
            }
        } catch (IOException ignored) {
            // The reader stops at the torn entry all the same.
        }
        partChannel = null;
        synchronized (lock) {
            for (Entry entry : FramedEntries.entries(bytes)) {
                // A gap that could not be named is part of the next one.
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

    /**
     * Begins another part. One that cannot even take its head is taken away again, and no older one
     * goes for it.
     */
    private void openNextPart() throws IOException {
        if (partChannel != null) {
            partChannel.close();
            partChannel = null;
        }
        Files.createDirectories(folder);
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        head.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(Codec.MAGIC).array());
        synchronized (lock) {
            // Where nothing came before, not even what a disk refused, the record begins with its
            // own start.
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

    /** The files of all lives in a folder, the oldest first. */
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

    /** Which life a file belongs to. */
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
