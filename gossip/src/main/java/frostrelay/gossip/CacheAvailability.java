package frostrelay.gossip;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recent availability changes of caches in the local endpoint list, with the revisions that made
 * them. Peers on an older revision are notified of them. Bounded; the oldest change is dropped
 * first.
 */
final class CacheAvailability {
    private static final int MAX_ENTRIES = 256;

    /** A cache's availability according to a revision of the local endpoint list. */
    record CacheState(long listRevision, boolean isAvailable) {}

    private final Map<Long, CacheState> statesByCache = new LinkedHashMap<>();

    /**
     * Records a change.
     *
     * @return false if there is nothing to announce: the cache is available and has no recorded
     *     change
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

    /** Returns the last change of a cache; null if none is recorded. */
    CacheState get(long cache) {
        return statesByCache.get(cache);
    }

    boolean isEmpty() {
        return statesByCache.isEmpty();
    }

    /** Writes the changes made by revisions newer than {@code listRevision}, as far as they fit. */
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
