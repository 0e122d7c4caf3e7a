package frostrelay.node.config;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Digests of what balancers act on: the first 8 bytes of SHA-256, the same at every balancer and
 * for whoever checks.
 */
public final class Digests {
    private Digests() {}

    public static long of(byte[] bytes) {
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes)).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    public static long of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }
}
