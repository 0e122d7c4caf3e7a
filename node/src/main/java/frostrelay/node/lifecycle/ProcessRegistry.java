package frostrelay.node.lifecycle;

import frostrelay.node.log.Event;
import frostrelay.node.log.Log;

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
 * A registry of the serving processes of one balancer, in a directory that two processes share
 * during an upgrade. Each process locks its own file, and the operating system releases the lock
 * when the process ends for any reason; an unlocked file therefore belongs to a dead process. The
 * file contains the descriptor usage of its process. Blocks on file I/O.
 */
final class ProcessRegistry implements AutoCloseable {
    /** The number of the other serving processes and their total usage. */
    record PeerProcesses(int count, DescriptorUsage usage) {
        private static final PeerProcesses NONE = new PeerProcesses(0, DescriptorUsage.NONE);

        private PeerProcesses plus(DescriptorUsage processUsage) {
            return new PeerProcesses(count + 1, usage.plus(processUsage));
        }
    }

    private static final String PREFIX = "serving-";

    private final Path directory;
    private final Path ownFile;
    private FileChannel ownChannel;

    /** Whether the directory could not be read and this has been logged. */
    private boolean isUnreadable;

    /** {@code name} identifies this process among those that share the directory. */
    ProcessRegistry(Path directory, String name) {
        this.directory = directory;
        this.ownFile = directory.resolve(PREFIX + name);
    }

    /** Registers this process as serving, until it ends or {@link #close} is called. */
    void announce() {
        try {
            ownChannel =
                    FileChannel.open(ownFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            ownChannel.lock();
        } catch (IOException e) {
            Log.write(
                    Event.PEER_PROCESSES_UNREADABLE,
                    "cannot register this process for detection by others: " + e);
        }
    }

    /** Publishes the descriptor usage of this process; does nothing before {@link #announce}. */
    void publish(DescriptorUsage usage) throws IOException {
        if (ownChannel != null) {
            ownChannel.write(usage.encode(), 0);
        }
    }

    /** Returns the other processes of this balancer that are serving. */
    PeerProcesses servingPeers() {
        PeerProcesses peers = PeerProcesses.NONE;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, PREFIX + "*")) {
            for (Path file : files) {
                DescriptorUsage usage = file.equals(ownFile) ? null : read(file);
                peers = usage == null ? peers : peers.plus(usage);
            }
            isUnreadable = false;
        } catch (IOException e) {
            if (!isUnreadable) {
                Log.write(Event.PEER_PROCESSES_UNREADABLE, e.toString());
            }
            isUnreadable = true;
        }
        return peers;
    }

    /** Returns the usage of the process that owns the file; null if that process is dead. */
    private static DescriptorUsage read(Path file) throws IOException {
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            if (isUnlocked(channel)) {
                Files.deleteIfExists(file);
                return null;
            }
            ByteBuffer bytes = DescriptorUsage.allocateBuffer();
            channel.read(bytes, 0);
            return DescriptorUsage.decode(bytes.flip());
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    private static boolean isUnlocked(FileChannel channel) throws IOException {
        try (FileLock lock = channel.tryLock()) {
            return lock != null;
        } catch (OverlappingFileLockException e) {
            // The lock is held by this JVM, in which a test runs several balancers.
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        if (ownChannel != null) {
            ownChannel.close();
            ownChannel = null;
        }
        Files.deleteIfExists(ownFile);
    }
}
