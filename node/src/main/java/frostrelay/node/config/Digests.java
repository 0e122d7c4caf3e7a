package frostrelay.node.config;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Digests of the data that balancers act on: the first 8 bytes of SHA-256, so that balancers and
 * tools compute the same value for the same data.
 */
public final class Digests {
    private Digests() {}

    /** Returns the digest of the bytes. */
    public static long of(byte[] bytes) {
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes)).getLong();
        } catch (NoSuchAlgorithmException e) {
            // Every Java platform has SHA-256.
            throw new IllegalStateException(e);
        }
    }

    /** Returns the digest of the text's UTF-8 bytes. */
    public static long of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }
}
