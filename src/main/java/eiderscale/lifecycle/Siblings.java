package eiderscale.lifecycle;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.logging.Logger;

/**
 * The serving processes of one balancer: during an upgrade there are two, which share its folder. Each holds the
 * lock on a file of its own, which the system lets go however the process ends; a file whose lock is free is a
 * dead one's. All of this reads files, so it must not run on an event loop.
 */
public final class Siblings implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Siblings.class.getName());
    private static final String PREFIX = "serving-";

    private final Path folder;
    private final Path own;
    private FileChannel announced;
    /** The folder could not be read, and the log says so. */
    private boolean blind;

    /** {@code name} is this process's own among those that share the folder. */
    public Siblings(Path folder, String name) {
        this.folder = folder;
        this.own = folder.resolve(PREFIX + name);
    }

    /** Tells the others that this process serves, until it ends. */
    public synchronized void announce() {
        try {
            announced = FileChannel.open(own, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            announced.lock();
        } catch (IOException e) {
            LOG.warning("other processes of this balancer cannot see this one: " + e);
        }
    }

    /** How many other processes of this balancer serve now. */
    public synchronized int others() {
        int alive = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path file : files) {
                if (!file.equals(own) && isHeld(file)) {
                    alive++;
                }
            }
        } catch (IOException e) {
            if (!blind) {
                LOG.warning("cannot look for other processes of this balancer: " + e);
            }
            blind = true;
        }
        return alive;
    }

    private static boolean isHeld(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            if (lock != null) {
                Files.deleteIfExists(file);
            }
            return lock == null;
        } catch (OverlappingFileLockException e) {
            // Held within this very process: several balancers of one test.
            return true;
        } catch (java.nio.file.NoSuchFileException e) {
            return false;
        }
    }

    @Override
    public synchronized void close() throws IOException {
        if (announced != null) {
            announced.close();
            announced = null;
        }
        Files.deleteIfExists(own);
    }
}
