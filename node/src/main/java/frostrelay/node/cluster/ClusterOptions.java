package frostrelay.node.cluster;

import frostrelay.node.config.ConfigException;

import java.nio.file.Path;
import java.util.function.Function;

/**
 * What a balancer has to do with others of its tier; all of it off unless it is asked for.
 *
 * @param gossipEnabled whether it talks with its peers, where the platform allows it
 * @param maxBytesPerSecond most bytes of such talk in any second
 * @param stalenessDetection whether it brings itself up, avoids caches on hearsay and steps aside
 *     where it lags behind; needs peers
 * @param sharesAdminDrains whether it tells its operators' holds and heeds those that several
 *     others' operators set; needs stragglers
 * @param transfersConfig whether it gives settings to those that lack them and takes them from
 *     others; needs stragglers
 * @param sharesHealthReports whether it tells what it sees of caches and lowers those that others
 *     find bad; needs peers
 * @param sharesCounters whether it tells what it does and sums up what the others say; needs peers
 * @param auditEnabled whether it keeps account of what it acts on
 * @param ringBytes bytes of that in memory
 * @param recordsEachSend whether every send is entered by itself
 * @param recordFolder where the record is kept besides, or null; below {@code $TMPDIR} if it is
 *     relative
 * @param maxFolderBytes bytes that the folder may take
 */
public record ClusterOptions(
        boolean gossipEnabled,
        int maxBytesPerSecond,
        boolean stalenessDetection,
        boolean sharesAdminDrains,
        boolean transfersConfig,
        boolean sharesHealthReports,
        boolean sharesCounters,
        boolean auditEnabled,
        int ringBytes,
        boolean recordsEachSend,
        Path recordFolder,
        long maxFolderBytes) {
    private static final String PREFIX = "frostrelay.";

    /** Nothing of it. */
    public static final ClusterOptions OFF =
            new ClusterOptions(
                    false,
                    2048,
                    false,
                    false,
                    false,
                    false,
                    false,
                    false,
                    256 * 1024,
                    false,
                    null,
                    8L << 20);

    /**
     * From the JVM's own properties, where no file is read: {@code -Dfrostrelay.peers=on} and so
     * on.
     */
    public static ClusterOptions of(Function<String, String> properties) {
        String recordFolder = properties.apply(PREFIX + "audit.folder");
        return new ClusterOptions(
                isOn(properties, "peers"),
                (int) byteCount(properties, "peers.ceiling", OFF.maxBytesPerSecond),
                isOn(properties, "stragglers"),
                isOn(properties, "stragglers.holds"),
                isOn(properties, "stragglers.hand-over"),
                isOn(properties, "judgements"),
                isOn(properties, "counts"),
                isOn(properties, "audit"),
                (int) byteCount(properties, "audit.ring", OFF.ringBytes),
                isOn(properties, "audit.each"),
                recordFolder == null || recordFolder.isEmpty() ? null : Path.of(recordFolder),
                byteCount(properties, "audit.most", OFF.maxFolderBytes));
    }

    private static boolean isOn(Function<String, String> properties, String name) {
        String value = properties.apply(PREFIX + name);
        if (value != null && !value.equals("on") && !value.equals("off")) {
            throw new ConfigException("-D" + PREFIX + name + " is on or off, not " + value);
        }
        return "on".equals(value);
    }

    private static long byteCount(
            Function<String, String> properties, String name, long defaultValue) {
        String value = properties.apply(PREFIX + name);
        try {
            long bytes = value == null ? defaultValue : Long.parseLong(value);
            if (bytes >= 256) {
                return bytes;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new ConfigException(
                "-D" + PREFIX + name + " is a number of bytes, 256 or more, not " + value);
    }
}
