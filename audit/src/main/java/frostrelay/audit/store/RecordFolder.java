package frostrelay.audit.store;

import frostrelay.audit.Codec;
import frostrelay.audit.Entry;
import frostrelay.audit.Framed;
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
 * must not wait for a disk. What SIGKILL can take is what came within the last {@link #WRITE_MS};
 * what was written the system keeps, as no machine dies. Names of the files: life, then part; parts
 * of one life belong together, the oldest go first where the folder's bound is met. {@link #append}
 * may come from one thread; it only adds to a buffer.
 */
public final class RecordFolder implements Recorder, AutoCloseable {
    /** The stated tail: what is not on its way to the disk yet is not older than this. */
    public static final long WRITE_MS = 100;

    private static final String SUFFIX = ".rec";

    /**
     * Waiting entries beyond this are dropped and named as a gap: a disk that hangs must not eat
     * the heap.
     */
    private static final int MOST_WAITING = 512 * 1024;

    private static final int MOST_PARTS = 8;

    private final Path folder;
    private final String life;
    private final long partBytes;
    private final Consumer<String> failed;
    private final ScheduledExecutorService thread =
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

    private ByteBuffer waiting = ByteBuffer.allocate(64 * 1024);
    private long lost;
    private long lostFrom;
    private String lostWhy = "";
    // Of the thread.
    private FileChannel part;
    private Path file;
    private int parts;
    private long headBytes;
    private long written;
    private boolean broken;

    /**
     * {@code life}: names this life's files, later lives sort behind earlier ones; {@code most}:
     * bytes that all files of the folder may take; {@code failed}: hears on the writer's thread,
     * once a spell, why nothing can be written.
     */
    public RecordFolder(Path folder, String life, long most, Consumer<String> failed) {
        this.folder = folder;
        this.life = life;
        this.partBytes = most / MOST_PARTS;
        this.failed = failed;
        thread.scheduleWithFixedDelay(this::write, WRITE_MS, WRITE_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void append(Entry entry) {
        synchronized (lock) {
            if (lost > 0 && waiting.position() == 0) {
                // What waited has been written, or was refused: the disk is tried again, with the
                // gap named first.
                long gone = lost;
                lost = 0;
                put(new Entry.Gap(entry.at(), lostFrom, gone, lostWhy));
            }
            put(entry);
        }
    }

    private void put(Entry entry) {
        byte[] bytes = Framed.of(entry);
        if (lost > 0 || waiting.position() + bytes.length > MOST_WAITING) {
            preamble.note(entry);
            lose(entry.at(), 1, "the disk did not keep up");
            return;
        }
        if (waiting.remaining() < bytes.length) {
            ByteBuffer wider = ByteBuffer.allocate(Math.min(MOST_WAITING, 2 * waiting.capacity()));
            waiting.flip();
            wider.put(waiting);
            waiting = wider;
        }
        waiting.put(bytes);
    }

    private void lose(long from, long entries, String why) {
        if (lost == 0 || from < lostFrom) {
            lostFrom = from;
            lostWhy = why;
        }
        lost += entries;
    }

    /** Writes what waits. A write that fails leaves the file cut back to its last whole entry. */
    private void write() {
        byte[] bytes;
        synchronized (lock) {
            if (waiting.position() == 0) {
                return;
            }
            bytes = new byte[waiting.position()];
            waiting.flip().get(bytes);
            waiting.clear();
        }
        int from = 0;
        try {
            while (from < bytes.length) {
                if (part == null || written >= partBytes) {
                    open();
                }
                int to = Framed.fitting(bytes, from, partBytes - written);
                ByteBuffer out = ByteBuffer.wrap(bytes, from, to - from);
                while (out.hasRemaining()) {
                    part.write(out, written + out.position() - from);
                }
                if (written == headBytes) {
                    makeRoom();
                }
                written += to - from;
                synchronized (lock) {
                    Framed.entries(Arrays.copyOfRange(bytes, from, to)).forEach(preamble::note);
                }
                from = to;
            }
            broken = false;
        } catch (IOException | RuntimeException e) {
            fail(Arrays.copyOfRange(bytes, from, bytes.length), e);
        }
    }

    private void fail(byte[] bytes, Exception e) {
        try {
            if (part != null) {
                // What the disk refused may stand there in part. Another file may be taken where
                // this one is not.
                part.truncate(written);
                part.close();
                if (written == headBytes) {
                    Files.deleteIfExists(file);
                }
            }
        } catch (IOException ignored) {
            // The reader stops at the torn entry all the same.
        }
        part = null;
        synchronized (lock) {
            for (Entry entry : Framed.entries(bytes)) {
                // A gap that could not be named is part of the next one.
                boolean gap = entry instanceof Entry.Gap;
                preamble.note(entry);
                lose(
                        gap ? ((Entry.Gap) entry).from() : entry.at(),
                        gap ? ((Entry.Gap) entry).entries() : 1,
                        "the disk refused it");
            }
        }
        if (!broken) {
            broken = true;
            failed.accept(String.valueOf(e));
        }
    }

    /**
     * Begins another part. One that cannot even take its head is taken away again, and no older one
     * goes for it.
     */
    private void open() throws IOException {
        if (part != null) {
            part.close();
            part = null;
        }
        Files.createDirectories(folder);
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        head.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(Codec.MAGIC).array());
        synchronized (lock) {
            // Where nothing came before, not even what a disk refused, the record begins with its
            // own start.
            if (!preamble.isEmpty()) {
                preamble.entries().forEach(entry -> head.writeBytes(Framed.of(entry)));
            }
        }
        file = folder.resolve(String.format(Locale.ROOT, "%s-%06d%s", life, parts, SUFFIX));
        FileChannel fresh =
                FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        try {
            ByteBuffer out = ByteBuffer.wrap(head.toByteArray());
            while (out.hasRemaining()) {
                fresh.write(out, out.position());
            }
        } catch (IOException e) {
            fresh.close();
            Files.deleteIfExists(file);
            throw e;
        }
        part = fresh;
        headBytes = head.size();
        written = headBytes;
        parts++;
    }

    private void makeRoom() throws IOException {
        List<Path> files = files(folder);
        for (int i = 0; i + MOST_PARTS < files.size(); i++) {
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
    public static String life(Path file) {
        String name = file.getFileName().toString();
        return name.substring(0, Math.max(0, name.lastIndexOf('-')));
    }

    @Override
    public void close() {
        thread.shutdown();
        try {
            thread.awaitTermination(WRITE_MS * 5, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        write();
        try {
            if (part != null) {
                part.close();
            }
        } catch (IOException e) {
            failed.accept(e.toString());
        }
    }
}
