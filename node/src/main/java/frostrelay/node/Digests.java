package frostrelay.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Digests of what balancers act on: the first 8 bytes of SHA-256, the same at every balancer and
 * for whoever checks.
 */
final class Digests {
    private Digests() {}

    static long of(byte[] bytes) {
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes)).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    static long of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }
}
