package frostrelay.testbed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * CPU steal time of this virtual machine, as counted by its kernel; it delays all processes at
 * once, independent of their own behavior.
 */
final class MachineLoad {
    private static final Path STATISTICS = Path.of("/proc/stat");

    /** Field indexes in the first line of /proc/stat, after its name. */
    private static final int IDLE = 3;

    private static final int IO_WAIT = 4;
    private static final int STOLEN = 7;

    private final long busyTicksAtStart;
    private final long stolenTicksAtStart;

    private MachineLoad(long busy, long stolen) {
        busyTicksAtStart = busy;
        stolenTicksAtStart = stolen;
    }

    /** Starts a measurement. */
    static MachineLoad start() {
        long[] counts = read();
        return new MachineLoad(busy(counts), counts[STOLEN]);
    }

    /**
     * Returns steal time as a fraction of the requested CPU time since the start, or 0 where the
     * system does not report it.
     */
    double stolenFraction() {
        long[] counts = read();
        long stolen = counts[STOLEN] - stolenTicksAtStart;
        return stolen / (double) Math.max(1, busy(counts) - busyTicksAtStart);
    }

    private static long busy(long[] counts) {
        long all = 0;
        for (int i = 0; i <= STOLEN; i++) {
            all += i == IDLE || i == IO_WAIT ? 0 : counts[i];
        }
        return all;
    }

    private static long[] read() {
        long[] counts = new long[STOLEN + 1];
        try {
            List<String> words =
                    List.of(Files.readAllLines(STATISTICS).get(0).trim().split("\\s+"));
            for (int i = 0; i <= STOLEN && i + 1 < words.size(); i++) {
                counts[i] = Long.parseLong(words.get(i + 1));
            }
        } catch (IOException | NumberFormatException e) {
            // Not Linux: steal time is unknown.
        }
        return counts;
    }
}
