package frostrelay.experiment;

import com.fasterxml.jackson.jr.ob.JSON;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * A file of run results with one JSON line per run, after a header line that identifies the
 * experiment. {@link #add} returns after the result is on disk; an incomplete last line after a
 * crash is dropped when the file is opened again. Results are appended in order of completion;
 * {@link #rewriteInOrder} sorts them by point and seed, so that the same experiment gives the same
 * bytes with any number of threads. Only one process at a time may write. Thread-safe.
 */
public final class ResultsFile implements Closeable {
    private static final int FORMAT = 1;

    /**
     * The contents of a results file. {@code points} are the labels in order. Each point has its
     * swept {@code settings}, its {@code faults} as sentences and their {@code faultRanges} (start
     * and end in seconds).
     */
    public record StoredResults(
            String name,
            String digest,
            List<String> points,
            List<Map<String, String>> settings,
            List<List<String>> faults,
            List<List<List<Double>>> faultRanges,
            List<List<RunResult>> byPoint) {
        /** Returns the runs of a point in order of their seeds. */
        public List<RunResult> resultsOf(int point) {
            return byPoint.get(point);
        }

        /** Returns all runs, ordered by point. */
        public List<RunResult> allResults() {
            return byPoint.stream().flatMap(List::stream).toList();
        }
    }

    private final Path path;
    private final FileChannel channel;
    private final FileLock lock;
    private final String header;
    private final NavigableMap<Key, RunResult> results = new TreeMap<>();

    private record Key(int point, long seed) implements Comparable<Key> {
        Key(RunResult result) {
            this(result.point(), result.seed());
        }

        @Override
        public int compareTo(Key other) {
            return point != other.point
                    ? Integer.compare(point, other.point)
                    : Long.compare(seed, other.seed);
        }
    }

    /** The complete lines of a file: the header of the experiment and one line per run. */
    private record Lines(String[] lines, int byteCount) {
        static Lines read(Path path) throws IOException {
            byte[] bytes = Files.readAllBytes(path);
            int end = bytes.length;
            while (end > 0 && bytes[end - 1] != '\n') {
                end--;
            }
            return new Lines(new String(bytes, 0, end, StandardCharsets.UTF_8).split("\n"), end);
        }

        NavigableMap<Key, RunResult> results(Path path) throws IOException {
            NavigableMap<Key, RunResult> results = new TreeMap<>();
            for (int i = 1; i < lines.length; i++) {
                RunResult result = parseResult(path, lines[i], i + 1);
                results.putIfAbsent(new Key(result), result);
            }
            return results;
        }
    }

    private ResultsFile(Path path, FileChannel channel, FileLock lock, String header) {
        this.path = path;
        this.channel = channel;
        this.lock = lock;
        this.header = header;
    }

    /**
     * Opens a file to resume an experiment, or creates it. Throws {@link IOException} if another
     * writer has it open or if it belongs to another experiment.
     */
    public static ResultsFile open(Path path, Experiment experiment) throws IOException {
        if (path.getParent() != null) {
            Files.createDirectories(path.getParent());
        }
        FileChannel channel =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        try {
            FileLock lock;
            try {
                lock = channel.tryLock();
            } catch (OverlappingFileLockException e) {
                lock = null;
            }
            if (lock == null) {
                throw new IOException(path + " is being written by another run");
            }
            ResultsFile file = new ResultsFile(path, channel, lock, headerLine(experiment));
            file.resume(experiment);
            return file;
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    private void resume(Experiment experiment) throws IOException {
        Lines lines = Lines.read(path);
        if (lines.byteCount > 0) {
            if (!digest(path, lines.lines[0]).equals(experiment.digest())) {
                throw new IOException(
                        path
                                + " holds the results of another experiment (or of this one before it was"
                                + " changed); name another file with --out, or remove it");
            }
            results.putAll(lines.results(path));
        }
        channel.truncate(lines.byteCount);
        channel.position(lines.byteCount);
        if (lines.byteCount == 0) {
            append(header);
        }
    }

    private static String digest(Path path, String line) throws IOException {
        try {
            Map<String, Object> all = JSON.std.mapFrom(line);
            if (!Integer.valueOf(FORMAT).equals(all.get("frostrelayResults"))) {
                throw new IOException(
                        "no results header, or an unsupported format version; supported is "
                                + FORMAT);
            }
            return String.valueOf(all.get("digest"));
        } catch (IOException | RuntimeException e) {
            throw new IOException(
                    path
                            + ":1: not a results file ("
                            + e.getMessage().lines().findFirst().orElse("")
                            + ")",
                    e);
        }
    }

    private static RunResult parseResult(Path path, String line, int number) throws IOException {
        try {
            return RunResult.parse(line);
        } catch (IOException | RuntimeException e) {
            throw new IOException(path + ":" + number + ": not the results of a run", e);
        }
    }

    private static String headerLine(Experiment experiment) throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("frostrelayResults", FORMAT);
        all.put("name", experiment.name());
        all.put("digest", experiment.digest());
        all.put("points", experiment.points().stream().map(Experiment.Point::label).toList());
        all.put("settings", experiment.points().stream().map(Experiment.Point::settings).toList());
        all.put(
                "faults",
                experiment.points().stream()
                        .map(point -> FaultFormat.describe(point.model().faults()))
                        .toList());
        all.put(
                "spans",
                experiment.points().stream()
                        .map(point -> FaultFormat.timeRangesSeconds(point.model().faults()))
                        .toList());
        return JSON.std.asString(all) + "\n";
    }

    private void append(String line) throws IOException {
        write(channel, line);
        channel.force(false);
    }

    private static void write(FileChannel out, String text) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        while (bytes.hasRemaining()) {
            out.write(bytes);
        }
    }

    /** Returns the result for a point and seed, or null if there is none. */
    public synchronized RunResult find(int point, long seed) {
        return results.get(new Key(point, seed));
    }

    /** Returns the number of stored runs. */
    public synchronized int size() {
        return results.size();
    }

    /** Stores a result; it is on disk when this method returns. */
    public synchronized void add(RunResult result) throws IOException {
        if (results.putIfAbsent(new Key(result), result) == null) {
            append(result.toJson() + "\n");
        }
    }

    /**
     * Sorts all results and replaces the file atomically, so that a crash leaves either the old or
     * the new file.
     */
    public synchronized void rewriteInOrder() throws IOException {
        Path newFile = path.resolveSibling(path.getFileName() + ".new");
        StringBuilder text = new StringBuilder(header);
        for (RunResult result : results.values()) {
            text.append(result.toJson()).append('\n');
        }
        try (FileChannel out =
                FileChannel.open(
                        newFile,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            write(out, text.toString());
            out.force(true);
        }
        Files.move(
                newFile, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Reads a file; the experiment may be incomplete. */
    public static StoredResults read(Path path) throws IOException {
        Lines lines = Lines.read(path);
        String digest = digest(path, lines.lines[0]);
        Map<String, Object> headerValues = JSON.std.mapFrom(lines.lines[0]);
        List<String> points = strings(headerValues.get("points"));
        List<List<RunResult>> byPoint = new ArrayList<>();
        NavigableMap<Key, RunResult> results = lines.results(path);
        for (int point = 0; point < points.size(); point++) {
            byPoint.add(
                    List.copyOf(
                            results.subMap(
                                            new Key(point, Long.MIN_VALUE),
                                            new Key(point + 1, Long.MIN_VALUE))
                                    .values()));
        }
        List<Map<String, String>> settings = new ArrayList<>();
        for (Object one : (List<?>) headerValues.get("settings")) {
            Map<String, String> each = new LinkedHashMap<>();
            ((Map<?, ?>) one)
                    .forEach((key, value) -> each.put((String) key, String.valueOf(value)));
            settings.add(each);
        }
        return new StoredResults(
                String.valueOf(headerValues.get("name")),
                digest,
                points,
                settings,
                ((List<?>) headerValues.get("faults")).stream().map(ResultsFile::strings).toList(),
                ((List<?>) headerValues.get("spans"))
                        .stream()
                                .map(
                                        point ->
                                                ((List<?>) point)
                                                        .stream().map(RunResult::numbers).toList())
                                .toList(),
                byPoint);
    }

    private static List<String> strings(Object list) {
        return ((List<?>) list).stream().map(String::valueOf).toList();
    }

    @Override
    public void close() throws IOException {
        lock.release();
        channel.close();
    }
}
