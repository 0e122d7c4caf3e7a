package frostrelay.peers;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * What a balancer acts on at a moment. Every decision is made under exactly one. Immutable.
 *
 * @param build the program's build, a digest of its classes
 * @param confNumber the operators' version number of the configuration, {@link #NO_NUMBER} where
 *     they give none
 * @param confDigest digest of the configuration's bytes
 * @param listRev discovery's version of the list, as one discovery counts it
 * @param listDigest digest of the list: the same for the same caches, states and starts, in
 *     whatever order they came
 * @param holds digest of what operators hold out of use, 0 for nothing
 * @param terms digest of the terms that this balancer works under, 0 while nothing gives any
 */
public record Stamp(
        int build,
        long confNumber,
        long confDigest,
        long listRev,
        long listDigest,
        long holds,
        int terms) {
    /** The operators give no number. */
    public static final long NO_NUMBER = -1;

    /**
     * Its bytes on the wire and in records. Later builds may write more behind them; readers pass
     * over that.
     */
    public static final int BYTES = 2 * Integer.BYTES + 5 * Long.BYTES;

    /** The reference of nothing: no stamp has it. */
    public static final int NO_REF = 0;

    /** Appends {@link #BYTES} bytes. */
    public void write(ByteBuffer into) {
        into.putInt(build)
                .putLong(confNumber)
                .putLong(confDigest)
                .putLong(listRev)
                .putLong(listDigest)
                .putLong(holds)
                .putInt(terms);
    }

    /** Reads what {@link #write} wrote; there must be {@link #BYTES} bytes. */
    public static Stamp read(ByteBuffer from) {
        return new Stamp(
                from.getInt(),
                from.getLong(),
                from.getLong(),
                from.getLong(),
                from.getLong(),
                from.getLong(),
                from.getInt());
    }

    /**
     * A short name for it, the same at every balancer; never {@link #NO_REF}. Not proof against
     * forgery.
     */
    public int ref() {
        ByteBuffer bytes = ByteBuffer.allocate(BYTES);
        write(bytes);
        CRC32C crc = new CRC32C();
        crc.update(bytes.array());
        int ref = (int) crc.getValue();
        return ref == NO_REF ? 1 : ref;
    }
}
