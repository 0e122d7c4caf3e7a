package frostrelay.node.cluster;

import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.zip.CRC32;

/** A digest that identifies the running build. */
final class BuildDigest {
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    private BuildDigest() {}

    /**
     * Returns the CRC-32 of the jar, so that two builds of one version differ; 0 if it cannot be
     * read.
     */
    static int ofRunningProgram() {
        CRC32 crc = new CRC32();
        try {
            Path source =
                    Path.of(
                            ClusterMembership.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI());
            if (Files.isRegularFile(source)) {
                // In chunks: a buffer for the whole jar would enlarge the heap permanently.
                try (InputStream in = Files.newInputStream(source)) {
                    byte[] buffer = new byte[READ_BUFFER_BYTES];
                    for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                        crc.update(buffer, 0, length);
                    }
                }
            } else {
                crc.update(source.toString().getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException | URISyntaxException | RuntimeException e) {
            // Only operators need the digest, to distinguish builds; serving does not depend on it.
            return 0;
        }
        return (int) crc.getValue();
    }
}
