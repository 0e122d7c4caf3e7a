package frostrelay.node.cluster;

import frostrelay.node.config.ConfigException;

import java.nio.file.Path;
import java.util.function.Function;

/**
 * What a balancer does together with its peers; everything is off by default.
 *
 * @param gossipEnabled whether it takes part in gossip, if the platform allows it
 * @param maxBytesPerSecond bandwidth limit for gossip in any second
 * @param stalenessDetection whether it refreshes itself when behind its peers, avoids caches that
 *     their lists have dropped, and drains itself while stale; needs gossip
 * @param sharesAdminDrains whether it shares its operators' drains and follows those that operators
 *     of several peers have set; needs staleness detection
 * @param transfersConfig whether it sends settings to peers that lack them and applies theirs;
 *     needs staleness detection
 * @param sharesHealthReports whether it shares health reports and ejects outliers; needs gossip
 * @param sharesCounters whether it shares counters and computes cluster totals; needs gossip
 * @param auditEnabled whether it records what it acts on
 * @param ringBytes size of the record in memory
 * @param recordsEachSend whether each send gets an entry of its own
 * @param recordFolder where the record is stored on disk as well, or null; a relative path is below
 *     {@code $TMPDIR}
 * @param maxFolderBytes bound on the size of that folder
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

    /** Lower limit of all options that are a number of bytes. */
    private static final int MIN_BYTES = 256;

    /** Everything off; the sizes are the defaults. */
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
     * Reads system properties such as {@code -Dfrostrelay.peers=on}, which apply where no settings
     * file is read. Throws {@link ConfigException} for a value that is not valid.
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
            if (bytes >= MIN_BYTES) {
                return bytes;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new ConfigException(
                "-D" + PREFIX + name + " is a number of bytes, 256 or more, not " + value);
    }
}
