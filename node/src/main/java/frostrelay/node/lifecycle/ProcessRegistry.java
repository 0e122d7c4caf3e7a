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
 * The serving processes of one balancer: during an upgrade there are two, which share its folder.
 * Each holds the lock on a file of its own, which the system lets go however the process ends; a
 * file whose lock is free is a dead one's. The file tells what its process has in use. All of this
 * waits for files.
 */
final class ProcessRegistry implements AutoCloseable {
    /** What the others amount to. */
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

    /** The folder could not be read, and the log says so. */
    private boolean isUnreadable;

    /** {@code name} is this process's own among those that share the folder. */
    ProcessRegistry(Path directory, String name) {
        this.directory = directory;
        this.ownFile = directory.resolve(PREFIX + name);
    }

    /** Tells the others that this process serves, until it ends. */
    void announce() {
        try {
            ownChannel =
                    FileChannel.open(ownFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            ownChannel.lock();
        } catch (IOException e) {
            Log.write(Event.PEER_PROCESSES_UNREADABLE, "they cannot see this one: " + e);
        }
    }

    /** Tells the others what this process has in use. */
    void publish(DescriptorUsage usage) throws IOException {
        if (ownChannel != null) {
            ownChannel.write(usage.encode(), 0);
        }
    }

    /** The other processes of this balancer that serve now. */
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

    /** What the process has in use whose file this is; null if it is dead. */
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
            // Held within this very process: several balancers of one test.
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
