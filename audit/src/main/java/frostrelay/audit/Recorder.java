package frostrelay.audit;

/** A sink for entries in chronological order. */
public interface Recorder {
    /**
     * Adds an entry. Does not block and does not fail: entries that cannot be stored are reported
     * by a later {@link Entry.Gap}.
     */
    void append(Entry entry);
}
