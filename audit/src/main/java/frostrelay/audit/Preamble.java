package frostrelay.audit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What a reader needs to make sense of entries when those before them are gone. For one thread. */
public final class Preamble {
    private Entry.Started start;
    private final Map<Integer, Entry.CacheNamed> cacheNames = new LinkedHashMap<>();
    private final Map<Integer, Entry.EndpointListed> endpoints = new LinkedHashMap<>();
    private Entry.VersionsApplied lastApplied;
    private long lastEntryNanos;

    /** This entry comes before those that the preamble is for. */
    public void observe(Entry entry) {
        lastEntryNanos = entry.atNanos();
        if (entry instanceof Entry.Started one) {
            start = one;
        } else if (entry instanceof Entry.CacheNamed one) {
            cacheNames.put(one.cache(), one);
        } else if (entry instanceof Entry.EndpointListed one) {
            endpoints.put(one.cache(), one);
        } else if (entry instanceof Entry.VersionsApplied one) {
            lastApplied = one;
        }
    }

    /** Whether nothing came before. */
    public boolean isEmpty() {
        return start == null;
    }

    /** The entries, ended by {@link Entry.Resumes}. */
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
