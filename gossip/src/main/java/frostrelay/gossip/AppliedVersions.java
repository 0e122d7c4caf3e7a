package frostrelay.gossip;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The versions that a balancer applies at a moment. Every decision is made under exactly one of
 * these. Immutable.
 *
 * @param buildDigest the program's build, a digest of its classes
 * @param configNumber the operators' version number of the configuration, {@link #NO_NUMBER} where
 *     they give none
 * @param configDigest digest of the configuration's bytes
 * @param listRevision revision of the endpoint list, as one discovery service counts it
 * @param listDigest digest of the list: equal for equal caches, states and start times, in whatever
 *     order they were received
 * @param adminDrainsDigest digest of operators' admin drains, 0 without any
 * @param termsDigest digest of the terms of service that apply to this balancer, 0 without any
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

    /** Bytes on the wire and in records. Later builds may append more, which readers ignore. */
    public static final int BYTES = 2 * Integer.BYTES + 5 * Long.BYTES;

    /** The fingerprint of no versions. */
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
     * A short digest, equal at every balancer; never {@link #NO_FINGERPRINT}. Not cryptographic.
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
