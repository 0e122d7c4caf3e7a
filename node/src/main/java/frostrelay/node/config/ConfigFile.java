package frostrelay.node.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * The configuration file and the state of its version that was loaded last. Blocks on file I/O;
 * thread-safe.
 */
public final class ConfigFile {
    private record FileVersion(FileTime modified, long size) {}

    private final Path path;
    private long loadedChecksum;

    /** The version found by the last check; null if the file could not be read. */
    private FileVersion lastSeenVersion;

    /** The last version whose content was compared with the loaded content. */
    private FileVersion lastCheckedVersion;

    /**
     * Sets the path without reading the file.
     *
     * @throws ConfigException if the path is null or empty
     */
    public ConfigFile(String path) {
        if (path == null || path.isEmpty()) {
            throw new ConfigException("GW_CONFIG is not set");
        }
        this.path = Path.of(path);
    }

    /**
     * Reads the file and returns its JSON object, not yet validated.
     *
     * @throws ConfigException if the file cannot be read or contains no JSON object
     */
    public synchronized Map<?, ?> load() {
        try {
            byte[] bytes = Files.readAllBytes(path);
            loadedChecksum = checksum(bytes);
            return Json.parse(bytes);
        } catch (IOException e) {
            throw new ConfigException("cannot read " + path, e);
        } catch (ConfigException e) {
            throw new ConfigException(path + ": " + e.getMessage(), e);
        }
    }

    /**
     * Returns whether the content differs from the content loaded last. To be called periodically:
     * a change is reported when two consecutive calls find the same version, so that a file is not
     * read while it is being written.
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
            // The file is being replaced or temporarily missing; the loaded content stays in
            // effect.
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
     * Reads and validates a file as a balancer does at its start, and describes the result, one
     * value per line. Starts nothing.
     *
     * @throws ConfigException if the file is invalid
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
