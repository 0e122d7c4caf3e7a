package frostrelay.gossip;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * What a balancer acts on at a moment. Every decision is made under exactly one. Immutable.
 *
 * @param buildDigest the program's build, a digest of its classes
 * @param configNumber the operators' version number of the configuration, {@link #NO_NUMBER} where
 *     they give none
 * @param configDigest digest of the configuration's bytes
 * @param listRevision discovery's version of the list, as one discovery counts it
 * @param listDigest digest of the list: the same for the same caches, states and starts, in
 *     whatever order they came
 * @param adminDrainsDigest digest of what operators hold out of use, 0 for nothing
 * @param termsDigest digest of the terms that this balancer works under, 0 while nothing gives any
 */
public record AppliedVersions(
        int buildDigest,
        long configNumber,
        long configDigest,
        long listRevision,
        long listDigest,
        long adminDrainsDigest,
        int termsDigest) {
    /** The operators give no number. */
    public static final long NO_NUMBER = -1;

    /**
     * Its bytes on the wire and in records. Later builds may write more behind them; readers pass
     * over that.
     */
    public static final int BYTES = 2 * Integer.BYTES + 5 * Long.BYTES;

    /** The reference of nothing: no stamp has it. */
    public static final int NO_FINGERPRINT = 0;

    /** Appends {@link #BYTES} bytes. */
    public void write(ByteBuffer out) {
        out.putInt(buildDigest)
                .putLong(configNumber)
                .putLong(configDigest)
                .putLong(listRevision)
                .putLong(listDigest)
                .putLong(adminDrainsDigest)
                .putInt(termsDigest);
    }

    /** Reads what {@link #write} wrote; there must be {@link #BYTES} bytes. */
    public static AppliedVersions read(ByteBuffer in) {
        return new AppliedVersions(
                in.getInt(),
                in.getLong(),
                in.getLong(),
                in.getLong(),
                in.getLong(),
                in.getLong(),
                in.getInt());
    }

    /**
     * A short name for it, the same at every balancer; never {@link #NO_FINGERPRINT}. Not proof
     * against forgery.
     */
    public int fingerprint() {
        ByteBuffer bytes = ByteBuffer.allocate(BYTES);
        write(bytes);
        CRC32C crc = new CRC32C();
        crc.update(bytes.array());
        int fingerprint = (int) crc.getValue();
        return fingerprint == NO_FINGERPRINT ? 1 : fingerprint;
    }
}
