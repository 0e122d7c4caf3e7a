package frostrelay.testbed.discovery;

/**
 * A cache in the endpoint list. {@code bootUnixMillis}: Unix time of the last start in
 * milliseconds, 0 for a start before the scenario.
 */
public record Member(String uid, State state, long bootUnixMillis) {
    /** The state of a cache in the endpoint list. */
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
