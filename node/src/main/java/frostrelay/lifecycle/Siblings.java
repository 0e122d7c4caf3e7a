package frostrelay.lifecycle;

import frostrelay.log.Event;
import frostrelay.log.Log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The serving processes of one balancer: during an upgrade there are two, which share its folder.
 * Each holds the lock on a file of its own, which the system lets go however the process ends; a
 * file whose lock is free is a dead one's. The file tells what its process has in use. All of this
 * waits for files.
 */
final class Siblings implements AutoCloseable {
    /** What the others amount to. */
    record Others(int count, Usage usage) {
        private static final Others NONE = new Others(0, Usage.NONE);

        private Others plus(Usage one) {
            return new Others(count + 1, usage.plus(one));
        }
    }

    private static final String PREFIX = "serving-";

    private final Path folder;
    private final Path own;
    private FileChannel announced;

    /** The folder could not be read, and the log says so. */
    private boolean blind;

    /** {@code name} is this process's own among those that share the folder. */
    Siblings(Path folder, String name) {
        this.folder = folder;
        this.own = folder.resolve(PREFIX + name);
    }

    /** Tells the others that this process serves, until it ends. */
    void announce() {
        try {
            announced = FileChannel.open(own, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            announced.lock();
        } catch (IOException e) {
            Log.write(Event.SIBLINGS_UNSEEN, "they cannot see this one: " + e);
        }
    }

    /** Tells the others what this process has in use. */
    void tell(Usage usage) throws IOException {
        if (announced != null) {
            announced.write(usage.encode(), 0);
        }
    }

    /** The other processes of this balancer that serve now. */
    Others others() {
        Others others = Others.NONE;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path file : files) {
                Usage usage = file.equals(own) ? null : read(file);
                others = usage == null ? others : others.plus(usage);
            }
            blind = false;
        } catch (IOException e) {
            if (!blind) {
                Log.write(Event.SIBLINGS_UNSEEN, e.toString());
            }
            blind = true;
        }
        return others;
    }

    /** What the process has in use whose file this is; null if it is dead. */
    private static Usage read(Path file) throws IOException {
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            if (isFree(channel)) {
                Files.deleteIfExists(file);
                return null;
            }
            ByteBuffer bytes = Usage.buffer();
            channel.read(bytes, 0);
            return Usage.decode(bytes.flip());
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    private static boolean isFree(FileChannel channel) throws IOException {
        try (FileLock lock = channel.tryLock()) {
            return lock != null;
        } catch (OverlappingFileLockException e) {
            // Held within this very process: several balancers of one test.
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        if (announced != null) {
            announced.close();
            announced = null;
        }
        Files.deleteIfExists(own);
    }
}
