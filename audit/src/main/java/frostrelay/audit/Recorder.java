package frostrelay.audit;

/** Takes entries in the order of their moments. */
public interface Recorder {
    /**
     * Enters it. Does not wait and does not fail: what cannot be kept is named as a {@link
     * Entry.Gap} later.
     */
    void append(Entry entry);
}
