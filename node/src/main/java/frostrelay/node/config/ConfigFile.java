package frostrelay.node.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/** The configuration file and what was read of it last. Waits for files. Safe for threads. */
public final class ConfigFile {
    private record FileVersion(FileTime modified, long size) {}

    private final Path path;
    private long loadedChecksum;

    /** Of the last look, and of the last that was found to hold nothing new. */
    private FileVersion lastSeenVersion;

    private FileVersion lastCheckedVersion;

    public ConfigFile(String path) {
        if (path == null || path.isEmpty()) {
            throw new ConfigException("GW_CONFIG is not set");
        }
        this.path = Path.of(path);
    }

    /** What it tells, as yet unchecked; throws {@link ConfigException} if that is no object. */
    public synchronized Map<?, ?> load() {
        try {
            byte[] bytes = Files.readAllBytes(path);
            loadedChecksum = checksum(bytes);
            return Json.parse(bytes);
        } catch (IOException e) {
            throw new ConfigException("cannot read " + path);
        } catch (ConfigException e) {
            throw new ConfigException(path + ": " + e.getMessage());
        }
    }

    /**
     * Whether it holds something else than was loaded last. To be called now and then: a change
     * counts once two looks in a row have found the file the same, lest half of it be read while it
     * is written.
     */
    public synchronized boolean hasChanged() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
            FileVersion version = new FileVersion(attributes.lastModifiedTime(), attributes.size());
            boolean isUnchangedSinceLastPoll = version.equals(lastSeenVersion);
            lastSeenVersion = version;
            if (!isUnchangedSinceLastPoll || version.equals(lastCheckedVersion)) {
                return false;
            }
            lastCheckedVersion = version;
            return checksum(Files.readAllBytes(path)) != loadedChecksum;
        } catch (IOException e) {
            // It is being replaced, or gone for now: the old one stays until there is a new one.
            lastSeenVersion = null;
            return false;
        }
    }

    private static long checksum(byte[] bytes) {
        CRC32C hash = new CRC32C();
        hash.update(bytes);
        return hash.getValue() << Integer.SIZE ^ bytes.length;
    }

    /**
     * Reads a file as a balancer would at its start and tells what holds, a line each. Throws
     * {@link ConfigException} with what is wrong. Nothing is started.
     */
    public static List<String> describe(Path file) {
        Config config = Config.read(new ConfigFile(file.toString()));
        return List.of(
                "name " + config.name(),
                "listen " + config.listenAddress(),
                "console " + config.adminAddress(),
                "discovery " + config.discoveryAddress(),
                "descriptors " + config.descriptorLimit(),
                "classes " + String.join(", ", config.settings().classNames()),
                "attempts " + config.settings().policySettings.maxAttempts(),
                "caches known " + config.initialEndpoints().endpoints().size());
    }
}
