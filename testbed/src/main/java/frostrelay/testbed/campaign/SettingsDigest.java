package frostrelay.testbed.campaign;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The digests that docs/audit.md states, computed apart from the balancer. */
final class SettingsDigest {
    private SettingsDigest() {}

    /** The first 8 bytes of a text's SHA-256. */
    static long of(String text) {
        try {
            return ByteBuffer.wrap(
                            MessageDigest.getInstance("SHA-256")
                                    .digest(text.getBytes(StandardCharsets.UTF_8)))
                    .getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Of settings: each value on a line PATH=VALUE, sorted, without what differs from balancer to
     * balancer.
     */
    static long settings(Map<?, ?> settings) {
        TreeMap<String, String> lines = new TreeMap<>();
        settings.forEach((name, value) -> walk(String.valueOf(name), value, lines));
        lines.remove("my-zone");
        lines.remove("rank");
        StringBuilder text = new StringBuilder();
        lines.forEach((path, value) -> text.append(path).append('=').append(value).append('\n'));
        return of(text.toString());
    }

    private static void walk(String path, Object value, Map<String, String> lines) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, inner) -> walk(path + '.' + name, inner, lines));
        } else if (value instanceof List<?> list) {
            boolean objects = false;
            for (Object item : list) {
                objects |= item instanceof Map;
            }
            if (!objects) {
                lines.put(path, String.join(",", list.stream().map(item -> word(item)).toList()));
                return;
            }
            lines.put(path + ".count", String.valueOf(list.size()));
            for (int i = 0; i < list.size(); i++) {
                walk(path + '.' + i, list.get(i), lines);
            }
        } else if (value != null) {
            lines.put(path, word(value));
        }
    }

    private static String word(Object value) {
        return String.valueOf(value).replaceAll("[\\s,]", "_");
    }

    /** Of a list: the sum over its caches of the digest of UID|STATE|BOOT. */
    static long list(Map<String, String> caches) {
        long sum = 0;
        for (Map.Entry<String, String> cache : caches.entrySet()) {
            String state =
                    cache.getValue().replace("Ready", "READY").replace("Terminating", "DRAINING");
            sum += of(cache.getKey() + '|' + state);
        }
        return sum;
    }
}
