package frostrelay.peers;

/**
 * What other modules have told along in the talk of who is there: whole sections of types of their
 * own, in what room a datagram has left. Loaded anew for each datagram, so that it may differ by
 * receiver.
 */
public interface Cargo {
    /**
     * The least type of a section that belongs to other modules; those below are the talk's own.
     */
    int FIRST_TYPE = 16;

    /** Nothing. */
    Cargo NONE = (now, to, hold) -> {};

    /** Loads sections for the balancer {@code to}, the most urgent first. */
    void load(long now, int to, Hold hold);
}
