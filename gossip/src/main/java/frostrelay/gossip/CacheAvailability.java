package frostrelay.gossip;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Caches that the local endpoint list ruled out lately, and by which revision: a peer on an older
 * revision is notified of them. Bounded; the oldest change is dropped first.
 */
final class CacheAvailability {
    private static final int MAX_ENTRIES = 256;

    /** What a revision of the local endpoint list says of a cache. */
    record CacheState(long listRevision, boolean isAvailable) {}

    private final Map<Long, CacheState> statesByCache = new LinkedHashMap<>();

    /**
     * Records a change.
     *
     * @return false where it is no news: the cache is available and was not ruled out lately
     */
    boolean record(long listRevision, long cache, boolean isAvailable) {
        if (isAvailable && !statesByCache.containsKey(cache)) {
            return false;
        }
        statesByCache.remove(cache);
        if (statesByCache.size() >= MAX_ENTRIES) {
            statesByCache.remove(statesByCache.keySet().iterator().next());
        }
        statesByCache.put(cache, new CacheState(listRevision, isAvailable));
        return true;
    }

    /** The last change of a cache; null where there was none lately. */
    CacheState get(long cache) {
        return statesByCache.get(cache);
    }

    boolean isEmpty() {
        return statesByCache.isEmpty();
    }

    /** Writes the changes that a peer on an older revision of the list may have missed. */
    void writeNewerThan(long listRevision, DatagramWriter writer) {
        for (Map.Entry<Long, CacheState> entry : statesByCache.entrySet()) {
            if (entry.getValue().listRevision > listRevision
                    && writer.availableBytes(GossipDatagram.MAX_BYTES)
                            >= GossipDatagram.CACHE_STATE_BYTES) {
                writer.putCacheState(entry.getKey(), entry.getValue());
            }
        }
    }
}
