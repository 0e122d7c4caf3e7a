package frostrelay.emulator;

import org.agrona.collections.Int2IntHashMap;

import java.util.Arrays;

/**
 * What a cache keeps: so many objects, those used or kept longest ago go first. An object is void
 * once its key was written. Places in arrays, linked by age; they grow with what is kept.
 */
final class Memory {
    private static final int NONE = -1;
    private static final int FIRST_SIZE = 64;

    private final int most;
    private final boolean byUse;
    private final Int2IntHashMap places = new Int2IntHashMap(NONE);
    private int[] keys = new int[FIRST_SIZE];
    private int[] versions = new int[FIRST_SIZE];
    private int[] older = new int[FIRST_SIZE];
    private int[] younger = new int[FIRST_SIZE];
    private int oldest = NONE;
    private int youngest = NONE;

    Memory(int most, Plant.Eviction eviction) {
        this.most = most;
        byUse = eviction == Plant.Eviction.LRU;
    }

    /** Whether the key is kept in this version; using it makes it the youngest. */
    boolean has(int key, int version) {
        int place = places.get(key);
        if (place != NONE && byUse) {
            unlink(place);
            append(place);
        }
        return place != NONE && versions[place] == version;
    }

    void keep(int key, int version) {
        int place = places.get(key);
        if (place == NONE) {
            place = place();
            keys[place] = key;
            places.put(key, place);
            append(place);
        } else if (byUse) {
            unlink(place);
            append(place);
        }
        versions[place] = version;
    }

    /** One that is free, or that of the object which goes first. */
    private int place() {
        if (places.size() == most) {
            int freed = oldest;
            unlink(freed);
            places.remove(keys[freed]);
            return freed;
        }
        int fresh = places.size();
        if (fresh == keys.length) {
            keys = Arrays.copyOf(keys, 2 * fresh);
            versions = Arrays.copyOf(versions, 2 * fresh);
            older = Arrays.copyOf(older, 2 * fresh);
            younger = Arrays.copyOf(younger, 2 * fresh);
        }
        return fresh;
    }

    private void unlink(int place) {
        if (older[place] == NONE) {
            oldest = younger[place];
        } else {
            younger[older[place]] = younger[place];
        }
        if (younger[place] == NONE) {
            youngest = older[place];
        } else {
            older[younger[place]] = older[place];
        }
    }

    private void append(int place) {
        older[place] = youngest;
        younger[place] = NONE;
        if (youngest == NONE) {
            oldest = place;
        } else {
            younger[youngest] = place;
        }
        youngest = place;
    }

    void clear() {
        places.clear();
        oldest = NONE;
        youngest = NONE;
    }
}
