package frostrelay.lifecycle;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.log.Event;
import frostrelay.log.Log;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Words that operators said, such as the ids that they hold out of use, in one small file that
 * outlasts the process. Every process of the balancer may change it, one at a time, and replaces it
 * whole, so that no reader finds half of it. Waits for files.
 */
final class HoldStore {
    /** A longer file is none of ours. */
    private static final long MOST_BYTES = 1024 * 1024;

    private final String name;
    private final Path file;
    private final Path lock;
    private final Path draft;

    /** What was read or written last: it stands while the file cannot be read. */
    private Set<String> last = Set.of();

    private boolean unreadable;

    /** {@code name}: of the file in the folder, and of the list in it. */
    HoldStore(Path folder, String name) {
        this.name = name;
        file = folder.resolve(name + ".json");
        lock = folder.resolve(name + ".lock");
        draft = folder.resolve(name + ".draft");
    }

    /** The ids held; those known last if the file is torn or somebody else's. */
    Set<String> read() {
        try {
            last = parse();
            unreadable = false;
        } catch (NoSuchFileException e) {
            last = Set.of();
        } catch (IOException | RuntimeException e) {
            if (!unreadable) {
                Log.write(Event.HOLDS_UNREADABLE, file, e.getMessage());
            }
            unreadable = true;
        }
        return last;
    }

    private Set<String> parse() throws IOException {
        if (Files.size(file) > MOST_BYTES) {
            throw new IOException("it is too long");
        }
        Object json = JSON.std.anyFrom(Files.readString(file, StandardCharsets.UTF_8));
        if (!(json instanceof Map<?, ?> object && object.get(name) instanceof List<?> ids)
                || !ids.stream().allMatch(String.class::isInstance)) {
            throw new IOException("it holds no list of ids");
        }
        Set<String> read = new TreeSet<>();
        ids.forEach(id -> read.add((String) id));
        return Set.copyOf(read);
    }

    /** Holds an id or lets it go, and returns all that are held then. */
    Set<String> change(String id, boolean out) throws IOException {
        try (FileChannel guard =
                FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            guard.lock();
            Set<String> ids = new TreeSet<>(read());
            // Letting go of nothing in particular is letting go of everything.
            if (out
                    ? ids.add(id)
                    : id.isEmpty() ? ids.removeAll(Set.copyOf(ids)) : ids.remove(id)) {
                Files.writeString(
                        draft, JSON.std.asString(Map.of(name, ids)), StandardCharsets.UTF_8);
                Files.move(
                        draft,
                        file,
                        StandardCopyOption.ATOMIC_MOVE,
                        StandardCopyOption.REPLACE_EXISTING);
            }
            last = Set.copyOf(ids);
            return last;
        }
    }
}
