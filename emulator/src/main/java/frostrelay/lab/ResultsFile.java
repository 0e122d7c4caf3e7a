package frostrelay.lab;

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
 * Days that were played, one to a line, behind a line that says of which experiment. A day is on
 * disk before the next call returns; a line that was cut short by a crash is dropped when the file
 * is opened again. While days come in they stand in the order of coming; {@link #finish} puts them
 * in the order of points and seeds, so that the same experiment gives the same bytes however many
 * threads played it. One process at a time may write. Safe for threads.
 */
public final class ResultsFile implements Closeable {
    private static final int FORMAT = 1;

    /**
     * What a file holds. {@code points}: labels in their order; {@code settings}: what a sweep set,
     * {@code faults} in words and {@code spans}, from and to of each in seconds, for each point.
     */
    public record Held(
            String name,
            String digest,
            List<String> points,
            List<Map<String, String>> settings,
            List<List<String>> faults,
            List<List<List<Double>>> spans,
            List<List<Day>> byPoint) {
        /** The days of a point in the order of their seeds. */
        public List<Day> of(int point) {
            return byPoint.get(point);
        }

        /** All days, point by point. */
        public List<Day> days() {
            return byPoint.stream().flatMap(List::stream).toList();
        }
    }

    private final Path path;
    private final FileChannel channel;
    private final FileLock lock;
    private final String head;
    private final NavigableMap<Key, Day> days = new TreeMap<>();

    private record Key(int point, long seed) implements Comparable<Key> {
        Key(Day day) {
            this(day.point(), day.seed());
        }

        @Override
        public int compareTo(Key other) {
            return point != other.point
                    ? Integer.compare(point, other.point)
                    : Long.compare(seed, other.seed);
        }
    }

    /** The whole lines of a file: the first says of which experiment, the others are days. */
    private record Lines(String[] all, int bytes) {
        static Lines read(Path path) throws IOException {
            byte[] bytes = Files.readAllBytes(path);
            int end = bytes.length;
            while (end > 0 && bytes[end - 1] != '\n') {
                end--;
            }
            return new Lines(new String(bytes, 0, end, StandardCharsets.UTF_8).split("\n"), end);
        }

        NavigableMap<Key, Day> days(Path path) throws IOException {
            NavigableMap<Key, Day> days = new TreeMap<>();
            for (int i = 1; i < all.length; i++) {
                Day day = day(path, all[i], i + 1);
                days.putIfAbsent(new Key(day), day);
            }
            return days;
        }
    }

    private ResultsFile(Path path, FileChannel channel, FileLock lock, String head) {
        this.path = path;
        this.channel = channel;
        this.lock = lock;
        this.head = head;
    }

    /**
     * Opens a file to go on with an experiment, or begins one. Throws {@link IOException} with a
     * plain message where another process writes it or it belongs to another experiment.
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
            ResultsFile file = new ResultsFile(path, channel, lock, head(experiment));
            file.takeUp(experiment);
            return file;
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    private void takeUp(Experiment experiment) throws IOException {
        Lines lines = Lines.read(path);
        if (lines.bytes > 0) {
            if (!digest(path, lines.all[0]).equals(experiment.digest())) {
                throw new IOException(
                        path
                                + " holds the results of another experiment (or of this one before it was"
                                + " changed); name another file with --out, or remove it");
            }
            days.putAll(lines.days(path));
        }
        channel.truncate(lines.bytes);
        channel.position(lines.bytes);
        if (lines.bytes == 0) {
            append(head);
        }
    }

    private static String digest(Path path, String line) throws IOException {
        try {
            Map<String, Object> all = JSON.std.mapFrom(line);
            if (!Integer.valueOf(FORMAT).equals(all.get("frostrelayResults"))) {
                throw new IOException("no results, or of a version that this one does not know");
            }
            return String.valueOf(all.get("digest"));
        } catch (IOException | RuntimeException e) {
            throw new IOException(
                    path
                            + ":1: not a file of results ("
                            + e.getMessage().lines().findFirst().orElse("")
                            + ")",
                    e);
        }
    }

    private static Day day(Path path, String line, int number) throws IOException {
        try {
            return Day.of(line);
        } catch (IOException | RuntimeException e) {
            throw new IOException(path + ":" + number + ": not a day's results", e);
        }
    }

    private static String head(Experiment experiment) throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("frostrelayResults", FORMAT);
        all.put("name", experiment.name());
        all.put("digest", experiment.digest());
        all.put("points", experiment.points().stream().map(Experiment.Point::label).toList());
        all.put("settings", experiment.points().stream().map(Experiment.Point::settings).toList());
        all.put(
                "faults",
                experiment.points().stream()
                        .map(point -> FaultWords.of(point.plant().faults()))
                        .toList());
        all.put(
                "spans",
                experiment.points().stream()
                        .map(point -> FaultWords.spans(point.plant().faults()))
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

    /** The day of a point and seed if it was played; null otherwise. */
    public synchronized Day find(int point, long seed) {
        return days.get(new Key(point, seed));
    }

    /** Days that are kept. */
    public synchronized int size() {
        return days.size();
    }

    /** Keeps a day: it outlasts this process from here on. */
    public synchronized void add(Day day) throws IOException {
        if (days.putIfAbsent(new Key(day), day) == null) {
            append(day.json() + "\n");
        }
    }

    /**
     * Puts all days in order, in one step: the file is the old or the new one, never half of
     * either.
     */
    public synchronized void finish() throws IOException {
        Path fresh = path.resolveSibling(path.getFileName() + ".new");
        StringBuilder text = new StringBuilder(head);
        for (Day day : days.values()) {
            text.append(day.json()).append('\n');
        }
        try (FileChannel out =
                FileChannel.open(
                        fresh,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            write(out, text.toString());
            out.force(true);
        }
        Files.move(
                fresh, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Reads a file that nobody need have finished. */
    public static Held read(Path path) throws IOException {
        Lines lines = Lines.read(path);
        String digest = digest(path, lines.all[0]);
        Map<String, Object> top = JSON.std.mapFrom(lines.all[0]);
        List<String> points = texts(top.get("points"));
        List<List<Day>> byPoint = new ArrayList<>();
        NavigableMap<Key, Day> days = lines.days(path);
        for (int point = 0; point < points.size(); point++) {
            byPoint.add(
                    List.copyOf(
                            days.subMap(
                                            new Key(point, Long.MIN_VALUE),
                                            new Key(point + 1, Long.MIN_VALUE))
                                    .values()));
        }
        List<Map<String, String>> settings = new ArrayList<>();
        for (Object one : (List<?>) top.get("settings")) {
            Map<String, String> each = new LinkedHashMap<>();
            ((Map<?, ?>) one)
                    .forEach((key, value) -> each.put((String) key, String.valueOf(value)));
            settings.add(each);
        }
        return new Held(
                String.valueOf(top.get("name")),
                digest,
                points,
                settings,
                ((List<?>) top.get("faults")).stream().map(ResultsFile::texts).toList(),
                ((List<?>) top.get("spans"))
                        .stream()
                                .map(point -> ((List<?>) point).stream().map(Day::numbers).toList())
                                .toList(),
                byPoint);
    }

    private static List<String> texts(Object list) {
        return ((List<?>) list).stream().map(String::valueOf).toList();
    }

    @Override
    public void close() throws IOException {
        lock.release();
        channel.close();
    }
}
