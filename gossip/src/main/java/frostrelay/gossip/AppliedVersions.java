package frostrelay.gossip;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The set of versions that a balancer applies at one time. Every decision is made under exactly one
 * such set. Immutable.
 *
 * @param buildDigest the program's build, a digest of its classes
 * @param configNumber version number that operators gave the configuration, or {@link #NO_NUMBER}
 * @param configDigest digest of the configuration's bytes
 * @param listRevision revision of the endpoint list, as counted by the discovery service
 * @param listDigest digest of the list, independent of the order in which entries were received:
 *     equal for equal caches, states and start times
 * @param adminDrainsDigest digest of the administrative drains set by operators, 0 if there are
 *     none
 * @param termsDigest digest of the terms of service that apply to this balancer, 0 if there are
 *     none
 */
public record AppliedVersions(
        int buildDigest,
        long configNumber,
        long configDigest,
        long listRevision,
        long listDigest,
        long adminDrainsDigest,
        int termsDigest) {
    /** The configuration has no version number. */
    public static final long NO_NUMBER = -1;

    /**
     * Encoded length on the wire and in records. Later builds may append bytes, which readers
     * ignore.
     */
    public static final int BYTES = 2 * Integer.BYTES + 5 * Long.BYTES;

    /** Fingerprint value that means that no versions are known. */
    public static final int NO_FINGERPRINT = 0;

    /** Appends the encoded form of {@link #BYTES} bytes. */
    public void write(ByteBuffer out) {
        out.putInt(buildDigest)
                .putLong(configNumber)
                .putLong(configDigest)
                .putLong(listRevision)
                .putLong(listDigest)
                .putLong(adminDrainsDigest)
                .putInt(termsDigest);
    }

    /** Reads what {@link #write} wrote; at least {@link #BYTES} bytes must remain. */
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
     * Returns a short digest that is equal at every balancer for equal versions; never {@link
     * #NO_FINGERPRINT}. Not cryptographic.
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
