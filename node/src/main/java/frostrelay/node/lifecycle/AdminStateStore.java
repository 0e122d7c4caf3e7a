package frostrelay.node.lifecycle;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.node.log.Event;
import frostrelay.node.log.Log;

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
final class AdminStateStore {
    /** A longer file is none of ours. */
    private static final long MAX_FILE_BYTES = 1024 * 1024;

    private final String name;
    private final Path file;
    private final Path lockFile;
    private final Path temporaryFile;

    /** What was read or written last: it stands while the file cannot be read. */
    private Set<String> lastKnown = Set.of();

    private boolean isUnreadable;

    /** {@code name}: of the file in the folder, and of the list in it. */
    AdminStateStore(Path directory, String name) {
        this.name = name;
        file = directory.resolve(name + ".json");
        lockFile = directory.resolve(name + ".lock");
        temporaryFile = directory.resolve(name + ".draft");
    }

    /** The ids held; those known last if the file is torn or somebody else's. */
    Set<String> read() {
        try {
            lastKnown = parse();
            isUnreadable = false;
        } catch (NoSuchFileException e) {
            lastKnown = Set.of();
        } catch (IOException | RuntimeException e) {
            if (!isUnreadable) {
                Log.write(Event.ADMIN_DRAINS_UNREADABLE, file, e.getMessage());
            }
            isUnreadable = true;
        }
        return lastKnown;
    }

    private Set<String> parse() throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
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
    Set<String> change(String id, boolean isPresent) throws IOException {
        try (FileChannel lockChannel =
                FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            lockChannel.lock();
            Set<String> ids = new TreeSet<>(read());
            // Letting go of nothing in particular is letting go of everything.
            if (isPresent
                    ? ids.add(id)
                    : id.isEmpty() ? ids.removeAll(Set.copyOf(ids)) : ids.remove(id)) {
                Files.writeString(
                        temporaryFile,
                        JSON.std.asString(Map.of(name, ids)),
                        StandardCharsets.UTF_8);
                Files.move(
                        temporaryFile,
                        file,
                        StandardCopyOption.ATOMIC_MOVE,
                        StandardCopyOption.REPLACE_EXISTING);
            }
            lastKnown = Set.copyOf(ids);
            return lastKnown;
        }
    }
}
