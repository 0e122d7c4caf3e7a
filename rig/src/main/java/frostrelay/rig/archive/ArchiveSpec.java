package frostrelay.rig.archive;

/**
 * What the archive is. {@code places}: fetches it works on at once; {@code time}: mean nanoseconds
 * of one; {@code queue}: the most that wait; sent {@code fallMultiple} times what it can do for
 * {@code fallWindow} nanoseconds it stops for {@code fallTime}; {@code value}: mean bytes of a
 * value.
 */
public record ArchiveSpec(
        int places,
        long time,
        int queue,
        double fallMultiple,
        long fallWindow,
        long fallTime,
        int value) {
    /** Fetches a second that it can do. */
    public double capacity() {
        return places * 1e9 / time;
    }
}
