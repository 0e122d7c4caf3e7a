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
 * A persistent set of strings set by administrators, such as the ids of drained servers, in one
 * small JSON file that persists after the process has ended. Every process of the balancer may
 * change it; a lock file serializes the changes, and each replaces the file atomically, so that no
 * reader sees a partial one. Blocks on file I/O; not thread-safe within a process.
 */
final class AdminStateStore {
    /** Maximum file length; longer files cannot have been written by a balancer. */
    private static final long MAX_FILE_BYTES = 1024 * 1024;

    private final String name;
    private final Path file;
    private final Path lockFile;
    private final Path temporaryFile;

    /** The values last read or written; used while the file cannot be read. */
    private Set<String> lastKnown = Set.of();

    private boolean isUnreadable;

    /** {@code name} is the base name of the file in the directory and the key of the list in it. */
    AdminStateStore(Path directory, String name) {
        this.name = name;
        file = directory.resolve(name + ".json");
        lockFile = directory.resolve(name + ".lock");
        temporaryFile = directory.resolve(name + ".draft");
    }

    /** Returns the stored values, or the last known ones if the file is corrupt or foreign. */
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
        long size = Files.size(file);
        if (size > MAX_FILE_BYTES) {
            throw new IOException(
                    "file has " + size + " bytes; at most " + MAX_FILE_BYTES + " are allowed");
        }
        Object json = JSON.std.anyFrom(Files.readString(file, StandardCharsets.UTF_8));
        if (!(json instanceof Map<?, ?> object && object.get(name) instanceof List<?> ids)
                || !ids.stream().allMatch(String.class::isInstance)) {
            throw new IOException(
                    "file contains no list of strings under the key \"" + name + "\"");
        }
        Set<String> read = new TreeSet<>();
        ids.forEach(id -> read.add((String) id));
        return Set.copyOf(read);
    }

    /**
     * Adds or removes a value and returns all values stored afterwards. Removing the empty string
     * removes all of them.
     *
     * @throws IOException if the file cannot be locked or written, and is therefore unchanged
     */
    Set<String> change(String id, boolean isPresent) throws IOException {
        try (FileChannel lockChannel =
                FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            lockChannel.lock();
            Set<String> stored = read();
            Set<String> changed = new TreeSet<>(stored);
            if (isPresent) {
                changed.add(id);
            } else if (id.isEmpty()) {
                changed.clear();
            } else {
                changed.remove(id);
            }
            if (!changed.equals(stored)) {
                write(changed);
            }
            lastKnown = Set.copyOf(changed);
            return lastKnown;
        }
    }

    private void write(Set<String> ids) throws IOException {
        Files.writeString(
                temporaryFile, JSON.std.asString(Map.of(name, ids)), StandardCharsets.UTF_8);
        Files.move(
                temporaryFile,
                file,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }
}
