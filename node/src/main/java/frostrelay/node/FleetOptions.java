package frostrelay.node;

import java.nio.file.Path;
import java.util.function.Function;

/**
 * What a balancer has to do with others of its tier; all of it off unless it is asked for.
 *
 * @param peers whether it talks with its peers, where the platform allows it
 * @param ceiling most bytes of such talk in any second
 * @param stragglers whether it brings itself up, avoids caches on hearsay and steps aside where it
 *     lags behind; needs peers
 * @param holds whether it tells its operators' holds and heeds those that several others' operators
 *     set; needs stragglers
 * @param handOver whether it gives settings to those that lack them and takes them from others;
 *     needs stragglers
 * @param judgements whether it tells what it sees of caches and lowers those that others find bad;
 *     needs peers
 * @param counts whether it tells what it does and sums up what the others say; needs peers
 * @param audit whether it keeps account of what it acts on
 * @param ring bytes of that in memory
 * @param each whether every send is entered by itself
 * @param folder where the record is kept besides, or null; below {@code $TMPDIR} if it is relative
 * @param most bytes that the folder may take
 */
public record FleetOptions(
        boolean peers,
        int ceiling,
        boolean stragglers,
        boolean holds,
        boolean handOver,
        boolean judgements,
        boolean counts,
        boolean audit,
        int ring,
        boolean each,
        Path folder,
        long most) {
    private static final String PREFIX = "frostrelay.";

    /** Nothing of it. */
    public static final FleetOptions OFF =
            new FleetOptions(
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
    static FleetOptions of(Function<String, String> properties) {
        String folder = properties.apply(PREFIX + "audit.folder");
        return new FleetOptions(
                on(properties, "peers"),
                (int) number(properties, "peers.ceiling", OFF.ceiling),
                on(properties, "stragglers"),
                on(properties, "stragglers.holds"),
                on(properties, "stragglers.hand-over"),
                on(properties, "judgements"),
                on(properties, "counts"),
                on(properties, "audit"),
                (int) number(properties, "audit.ring", OFF.ring),
                on(properties, "audit.each"),
                folder == null || folder.isEmpty() ? null : Path.of(folder),
                number(properties, "audit.most", OFF.most));
    }

    private static boolean on(Function<String, String> properties, String name) {
        String value = properties.apply(PREFIX + name);
        if (value != null && !value.equals("on") && !value.equals("off")) {
            throw new ConfigException("-D" + PREFIX + name + " is on or off, not " + value);
        }
        return "on".equals(value);
    }

    private static long number(Function<String, String> properties, String name, long otherwise) {
        String value = properties.apply(PREFIX + name);
        try {
            long number = value == null ? otherwise : Long.parseLong(value);
            if (number >= 256) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new ConfigException(
                "-D" + PREFIX + name + " is a number of bytes, 256 or more, not " + value);
    }
}
