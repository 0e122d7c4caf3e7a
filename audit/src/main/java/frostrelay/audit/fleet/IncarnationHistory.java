package frostrelay.audit.fleet;

import frostrelay.audit.AuditRecord;
import frostrelay.audit.Entry;
import frostrelay.gossip.Incarnation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One incarnation of a balancer, joined from the parts of its record. Entries are in recorded
 * order; a preamble is omitted if the part before it is present.
 */
public final class IncarnationHistory {
    private final String source;
    private final List<Entry> entries = new ArrayList<>();
    private final Entry.Started start;
    private final Set<Long> incarnations = new HashSet<>();
    private final Map<Integer, String> cacheNames = new HashMap<>();
    private final List<Entry.VersionsApplied> appliedVersions = new ArrayList<>();
    private final int unreadBytes;
    private final boolean beginningLost;

    private IncarnationHistory(String source, List<AuditRecord> parts, boolean hasFirstPart) {
        this.source = source;
        int totalUnreadBytes = 0;
        for (int i = 0; i < parts.size(); i++) {
            List<Entry> partEntries = parts.get(i).entries();
            int resumedIndex = -1;
            for (int index = 0; index < partEntries.size() && resumedIndex < 0; index++) {
                resumedIndex = partEntries.get(index) instanceof Entry.Resumed ? index : -1;
            }
            if (i > 0) {
                addMissingFromPreamble(partEntries.subList(0, resumedIndex + 1));
            }
            entries.addAll(
                    i == 0
                            ? partEntries
                            : partEntries.subList(resumedIndex + 1, partEntries.size()));
            totalUnreadBytes += parts.get(i).unreadBytes();
        }
        unreadBytes = totalUnreadBytes;
        Entry.Started startEntry = null;
        for (Entry entry : entries) {
            if (entry instanceof Entry.Started started) {
                startEntry = started;
                incarnations.add(started.incarnation());
            } else if (entry instanceof Entry.IncarnationChanged changed) {
                incarnations.add(changed.incarnation());
            } else if (entry instanceof Entry.CacheNamed named) {
                cacheNames.put(named.cache(), named.uid());
            } else if (entry instanceof Entry.VersionsApplied applied) {
                appliedVersions.add(applied);
            }
        }
        start = startEntry;
        beginningLost = !hasFirstPart || entries.stream().anyMatch(Entry.Resumed.class::isInstance);
    }

    /** Adds the entries of a preamble that are missing in the parts before it. */
    private void addMissingFromPreamble(List<Entry> preamble) {
        int lastSequence = -1;
        for (Entry entry : entries) {
            lastSequence =
                    entry instanceof Entry.VersionsApplied applied
                            ? applied.sequence()
                            : lastSequence;
        }
        for (Entry entry : preamble) {
            if (entry instanceof Entry.CacheNamed
                    || entry instanceof Entry.VersionsApplied applied
                            && applied.sequence() > lastSequence) {
                entries.add(entry);
            }
        }
    }

    /**
     * Joins the parts of a record.
     *
     * @param source where the parts came from, for messages
     * @param parts the parts in their order
     * @param hasFirstPart whether {@code parts} begins with the first part of the incarnation
     * @return null if no start entry could be read
     */
    public static IncarnationHistory of(
            String source, List<AuditRecord> parts, boolean hasFirstPart) {
        IncarnationHistory history = new IncarnationHistory(source, parts, hasFirstPart);
        return history.start == null ? null : history;
    }

    /** Returns where the record was found. */
    public String source() {
        return source;
    }

    /** The balancer's name. */
    public String name() {
        return start.name();
    }

    /** Returns name and start time, which identify an incarnation. */
    public String label() {
        return start.name() + "/" + Incarnation.toUnixMillis(start.incarnation());
    }

    public Entry.Started start() {
        return start;
    }

    public List<Entry> entries() {
        return entries;
    }

    /** Returns the changes of applied versions, in order. */
    public List<Entry.VersionsApplied> appliedVersions() {
        return appliedVersions;
    }

    /** Returns the name of a cache, or {@code #} and its number if the name's entry was lost. */
    public String cacheName(int number) {
        return cacheNames.getOrDefault(number, "#" + number);
    }

    /** Returns whether peers know this incarnation by this rank and number. */
    public boolean isIncarnation(int rank, long incarnation) {
        return start.rank() == rank
                && (incarnations.contains(incarnation)
                        || Incarnation.toUnixMillis(incarnation)
                                == Incarnation.toUnixMillis(start.incarnation()));
    }

    /** Returns whether the last entry is a shutdown. */
    public boolean hasStopped() {
        return !entries.isEmpty() && entries.get(entries.size() - 1) instanceof Entry.Stopped;
    }

    /** Returns the time of the last entry. */
    public long lastEntryNanos() {
        return entries.get(entries.size() - 1).atNanos();
    }

    /** Returns the number of unreadable bytes at the ends of the parts. */
    public int unreadBytes() {
        return unreadBytes;
    }

    /** Returns whether older parts of the record are missing. */
    public boolean beginningLost() {
        return beginningLost;
    }

    /** Returns the gaps recorded. */
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
     * Returns the end of the time in which the versions at an index of {@link #appliedVersions}
     * were applied: the time of the next change, or of the last entry.
     */
    public long appliedUntilNanos(int index) {
        return index + 1 < appliedVersions.size()
                ? appliedVersions.get(index + 1).atNanos()
                : lastEntryNanos();
    }
}
