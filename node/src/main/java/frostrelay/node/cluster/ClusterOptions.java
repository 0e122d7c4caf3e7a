package frostrelay.node.cluster;

import frostrelay.node.config.ConfigException;

import java.nio.file.Path;
import java.util.function.Function;

/**
 * Options of the functions that a balancer shares with its peers, and of its audit record; all are
 * off by default.
 *
 * @param gossipEnabled whether it takes part in gossip, if the platform allows it
 * @param maxBytesPerSecond bandwidth limit for gossip in any second
 * @param stalenessDetection whether it refreshes its versions when peers have newer ones, avoids
 *     caches that their lists have dropped, and drains itself while stale; needs gossip
 * @param sharesAdminDrains whether it shares its operators' drains and follows those that operators
 *     of several peers have set; needs staleness detection
 * @param transfersConfig whether it sends settings to peers that lack them and applies theirs;
 *     needs staleness detection
 * @param sharesHealthReports whether it shares health reports and ejects outliers; needs gossip
 * @param sharesCounters whether it shares counters and computes cluster totals; needs gossip
 * @param auditEnabled whether it keeps an audit record of its versions and decisions
 * @param ringBytes size of the record in memory
 * @param recordsEachSend whether each send is recorded in a separate entry
 * @param recordFolder folder in which the record is also stored, or null; a relative path is below
 *     {@code $TMPDIR}
 * @param maxFolderBytes upper limit for the size of that folder
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

    /** All functions off; the sizes are the defaults. */
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
            throw new ConfigException(
                    "-D" + PREFIX + name + " must be 'on' or 'off', but is '" + value + "'");
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
                "-D"
                        + PREFIX
                        + name
                        + " must be a number of bytes, 256 or more, but is '"
                        + value
                        + "'");
    }
}
