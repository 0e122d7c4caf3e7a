package frostrelay.testbed.discovery;

/** A cache in the list. {@code bootUnixMillis}: its last start in Unix time, 0 for long ago. */
public record Member(String uid, State state, long bootUnixMillis) {
    /** What the list says of a cache, in discovery's words. */
    public enum State {
        READY("Ready"),
        TERMINATING("Terminating"),
        GONE("Gone");
        final String wireName;

        State(String wireName) {
            this.wireName = wireName;
        }
    }
}
