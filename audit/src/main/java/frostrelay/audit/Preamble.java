package frostrelay.audit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What a reader needs to make sense of entries when those before them are gone. For one thread. */
public final class Preamble {
    private Entry.Start start;
    private final Map<Integer, Entry.Names> names = new LinkedHashMap<>();
    private final Map<Integer, Entry.Lists> lists = new LinkedHashMap<>();
    private Entry.Acts acts;
    private long last;

    /** This entry comes before those that the preamble is for. */
    public void note(Entry entry) {
        last = entry.at();
        if (entry instanceof Entry.Start one) {
            start = one;
        } else if (entry instanceof Entry.Names one) {
            names.put(one.cache(), one);
        } else if (entry instanceof Entry.Lists one) {
            lists.put(one.cache(), one);
        } else if (entry instanceof Entry.Acts one) {
            acts = one;
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
        entries.addAll(names.values());
        entries.addAll(lists.values());
        if (acts != null) {
            entries.add(acts);
        }
        entries.add(new Entry.Resumes(last));
        return entries;
    }
}
