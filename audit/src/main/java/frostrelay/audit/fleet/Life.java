package frostrelay.audit.fleet;

import frostrelay.audit.Entry;
import frostrelay.audit.Record;
import frostrelay.peers.Incarnation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One life of a balancer, put together from the parts of its record. Entries are in their order;
 * what a part repeats for its reader is left out where the part before it is there.
 */
public final class Life {
    private final String source;
    private final List<Entry> entries = new ArrayList<>();
    private final Entry.Start start;
    private final Set<Long> incarnations = new HashSet<>();
    private final Map<Integer, String> caches = new HashMap<>();
    private final List<Entry.Acts> acts = new ArrayList<>();
    private final int unread;
    private final boolean beginningLost;

    private Life(String source, List<Record> parts, boolean firstThere) {
        this.source = source;
        int torn = 0;
        for (int i = 0; i < parts.size(); i++) {
            List<Entry> all = parts.get(i).entries();
            int resumes = -1;
            for (int at = 0; at < all.size() && resumes < 0; at++) {
                resumes = all.get(at) instanceof Entry.Resumes ? at : -1;
            }
            if (i > 0) {
                repeated(all.subList(0, resumes + 1));
            }
            entries.addAll(i == 0 ? all : all.subList(resumes + 1, all.size()));
            torn += parts.get(i).unread();
        }
        unread = torn;
        Entry.Start found = null;
        for (Entry entry : entries) {
            if (entry instanceof Entry.Start one) {
                found = one;
                incarnations.add(one.incarnation());
            } else if (entry instanceof Entry.Renumbered one) {
                incarnations.add(one.incarnation());
            } else if (entry instanceof Entry.Names one) {
                caches.put(one.cache(), one.uid());
            } else if (entry instanceof Entry.Acts one) {
                acts.add(one);
            }
        }
        start = found;
        beginningLost = !firstThere || entries.stream().anyMatch(Entry.Resumes.class::isInstance);
    }

    /**
     * Of what a part repeats, that counts which the parts before it do not have: it was lost on its
     * way to them.
     */
    private void repeated(List<Entry> head) {
        int last = -1;
        for (Entry entry : entries) {
            last = entry instanceof Entry.Acts one ? one.sequence() : last;
        }
        for (Entry entry : head) {
            if (entry instanceof Entry.Names
                    || entry instanceof Entry.Acts one && one.sequence() > last) {
                entries.add(entry);
            }
        }
    }

    /**
     * {@code source}: where the parts came from, for messages; {@code firstThere}: the first of
     * them is the life's first. Null where not even the start could be read.
     */
    public static Life of(String source, List<Record> parts, boolean firstThere) {
        Life life = new Life(source, parts, firstThere);
        return life.start == null ? null : life;
    }

    /** Where its record was found. */
    public String source() {
        return source;
    }

    /** The balancer's name. */
    public String name() {
        return start.name();
    }

    /** Name and start, which tell the lives of one balancer apart. */
    public String label() {
        return start.name() + "/" + Incarnation.unixMs(start.incarnation());
    }

    public Entry.Start start() {
        return start;
    }

    public List<Entry> entries() {
        return entries;
    }

    /** The stamps that it acted on, in their order. */
    public List<Entry.Acts> acts() {
        return acts;
    }

    /** What a cache's number stands for; the number itself where that was lost. */
    public String cache(int number) {
        return caches.getOrDefault(number, "#" + number);
    }

    /** Whether this is the life of a balancer that others knew by this number and incarnation. */
    public boolean is(int rank, long incarnation) {
        return start.rank() == rank
                && (incarnations.contains(incarnation)
                        || Incarnation.unixMs(incarnation)
                                == Incarnation.unixMs(start.incarnation()));
    }

    /** Whether its last entry says that it ended in order. */
    public boolean ended() {
        return !entries.isEmpty() && entries.get(entries.size() - 1) instanceof Entry.End;
    }

    /** The moment of its last entry. */
    public long last() {
        return entries.get(entries.size() - 1).at();
    }

    /** Bytes at the end of its parts that could not be read. */
    public int unread() {
        return unread;
    }

    /** Whether older parts of it are missing. */
    public boolean beginningLost() {
        return beginningLost;
    }

    /** What it says is missing. */
    public List<Entry.Gap> gaps() {
        List<Entry.Gap> gaps = new ArrayList<>();
        for (Entry entry : entries) {
            if (entry instanceof Entry.Gap gap) {
                gaps.add(gap);
            }
        }
        return gaps;
    }

    /**
     * Until when it acted on the stamp at a place of {@link #acts}: the next one's beginning, or
     * the last it said.
     */
    public long until(int place) {
        return place + 1 < acts.size() ? acts.get(place + 1).at() : last();
    }
}
