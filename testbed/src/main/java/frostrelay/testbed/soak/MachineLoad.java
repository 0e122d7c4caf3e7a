package frostrelay.testbed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * How much processor time the machine beneath took away from this one, as its kernel counts it:
 * stolen time makes all processes late together, whatever they do.
 */
final class MachineLoad {
    private static final Path STATISTICS = Path.of("/proc/stat");

    /** Places in the first line, behind its name. */
    private static final int IDLE = 3;

    private static final int IO_WAIT = 4;
    private static final int STOLEN = 7;

    private final long busyTicksAtStart;
    private final long stolenTicksAtStart;

    private MachineLoad(long busy, long stolen) {
        busyTicksAtStart = busy;
        stolenTicksAtStart = stolen;
    }

    /** Measures from now on. */
    static MachineLoad start() {
        long[] counts = read();
        return new MachineLoad(busy(counts), counts[STOLEN]);
    }

    /**
     * The stolen part of the processor time that was wanted since the beginning; 0 where the system
     * does not tell.
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
            // Another system: nothing is known of what it takes away.
        }
        return counts;
    }
}
