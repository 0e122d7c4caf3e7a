package frostrelay.testbed.cache;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The memory of a cache, limited in bytes, with LRU eviction. Not thread-safe. */
final class Store {
    private final long maxBytes;
    private final Map<String, byte[]> values = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;

    Store(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    byte[] get(String key) {
        return values.get(key);
    }

    void put(String key, byte[] value) {
        remove(key);
        if (value.length > maxBytes) {
            return;
        }
        values.put(key, value);
        bytes += value.length;
        Iterator<Map.Entry<String, byte[]>> oldest = values.entrySet().iterator();
        while (bytes > maxBytes) {
            bytes -= oldest.next().getValue().length;
            oldest.remove();
        }
    }

    void remove(String key) {
        byte[] old = values.remove(key);
        bytes -= old == null ? 0 : old.length;
    }
}
