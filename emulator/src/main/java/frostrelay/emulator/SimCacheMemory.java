package frostrelay.emulator;

import org.agrona.collections.Int2IntHashMap;

import java.util.Arrays;

/**
 * The bounded object store of a cache, with LRU or FIFO eviction. An object is invalid once its key
 * has been written. Entries are array slots linked by age; the arrays grow with the number of
 * entries.
 */
final class SimCacheMemory {
    private static final int NONE = -1;
    private static final int FIRST_SIZE = 64;

    private final int maxEntries;
    private final boolean isLru;
    private final Int2IntHashMap slotByKey = new Int2IntHashMap(NONE);
    private int[] keys = new int[FIRST_SIZE];
    private int[] versions = new int[FIRST_SIZE];
    private int[] older = new int[FIRST_SIZE];
    private int[] younger = new int[FIRST_SIZE];
    private int oldest = NONE;
    private int youngest = NONE;

    SimCacheMemory(int maxEntries, SystemModel.Eviction eviction) {
        this.maxEntries = maxEntries;
        isLru = eviction == SystemModel.Eviction.LRU;
    }

    /**
     * Returns whether the key is stored in this version; with LRU, also marks it as most recently
     * used.
     */
    boolean contains(int key, int version) {
        int slot = slotByKey.get(key);
        if (slot != NONE && isLru) {
            unlink(slot);
            append(slot);
        }
        return slot != NONE && versions[slot] == version;
    }

    void put(int key, int version) {
        int slot = slotByKey.get(key);
        if (slot == NONE) {
            slot = allocateSlot();
            keys[slot] = key;
            slotByKey.put(key, slot);
            append(slot);
        } else if (isLru) {
            unlink(slot);
            append(slot);
        }
        versions[slot] = version;
    }

    /** Returns a free slot, evicting the oldest entry if the store is full. */
    private int allocateSlot() {
        if (slotByKey.size() == maxEntries) {
            int evictedSlot = oldest;
            unlink(evictedSlot);
            slotByKey.remove(keys[evictedSlot]);
            return evictedSlot;
        }
        int nextSlot = slotByKey.size();
        if (nextSlot == keys.length) {
            keys = Arrays.copyOf(keys, 2 * nextSlot);
            versions = Arrays.copyOf(versions, 2 * nextSlot);
            older = Arrays.copyOf(older, 2 * nextSlot);
            younger = Arrays.copyOf(younger, 2 * nextSlot);
        }
        return nextSlot;
    }

    private void unlink(int slot) {
        if (older[slot] == NONE) {
            oldest = younger[slot];
        } else {
            younger[older[slot]] = younger[slot];
        }
        if (younger[slot] == NONE) {
            youngest = older[slot];
        } else {
            older[younger[slot]] = older[slot];
        }
    }

    private void append(int slot) {
        older[slot] = youngest;
        younger[slot] = NONE;
        if (youngest == NONE) {
            oldest = slot;
        } else {
            younger[youngest] = slot;
        }
        youngest = slot;
    }

    void clear() {
        slotByKey.clear();
        oldest = NONE;
        youngest = NONE;
    }
}
