package frostrelay.audit;

/** Stores entries, in order of time. */
public interface Recorder {
    /**
     * Adds an entry. Does not block and does not fail: entries that cannot be stored are named by a
     * {@link Entry.Gap} later.
     */
    void append(Entry entry);
}
