package frostrelay.audit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The entries that later ones refer to, repeated in records whose beginning was dropped: the start,
 * the caches' names and latest states, and the versions last applied. Not thread-safe.
 */
public final class Preamble {
    private Entry.Started start;
    private final Map<Integer, Entry.CacheNamed> cacheNames = new LinkedHashMap<>();
    private final Map<Integer, Entry.EndpointListed> endpoints = new LinkedHashMap<>();
    private Entry.VersionsApplied lastApplied;
    private long lastEntryNanos;

    /** Takes note of an entry that precedes the entries of the record to be written. */
    public void observe(Entry entry) {
        lastEntryNanos = entry.atNanos();
        if (entry instanceof Entry.Started started) {
            start = started;
        } else if (entry instanceof Entry.CacheNamed named) {
            cacheNames.put(named.cache(), named);
        } else if (entry instanceof Entry.EndpointListed listed) {
            endpoints.put(listed.cache(), listed);
        } else if (entry instanceof Entry.VersionsApplied applied) {
            lastApplied = applied;
        }
    }

    /** Returns true until a start entry has been observed. */
    public boolean isEmpty() {
        return start == null;
    }

    /** Returns the entries of the preamble, ending with {@link Entry.Resumed}. */
    public List<Entry> entries() {
        List<Entry> entries = new ArrayList<>();
        if (start != null) {
            entries.add(start);
        }
        entries.addAll(cacheNames.values());
        entries.addAll(endpoints.values());
        if (lastApplied != null) {
            entries.add(lastApplied);
        }
        entries.add(new Entry.Resumed(lastEntryNanos));
        return entries;
    }
}
