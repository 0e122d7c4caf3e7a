package frostrelay.rig.referee;

/** Hears what clients ask and get. Times in nanoseconds; {@code id} is that of a try. */
public interface ClientWatch {
    /** Where nobody watches: only what the client itself sees counts. */
    ClientWatch NOBODY = new ClientWatch() {};

    /**
     * A request goes out. {@code intent}: the first try that it belongs to, its own id for a first
     * try.
     */
    default void asked(long now, String id, String intent, Referee.Effect effect) {}

    /** How long the client of a request waits, from the moment at which it sent. */
    default void waits(String id, long until) {}

    /** The client of a request has closed its connection; nothing is owed any more. */
    default void left(long now, String id) {}

    /**
     * A final answer came. {@code content}: what identifies a value or receipt, for served
     * requests.
     */
    default void answered(String id, Referee.Ending ending, long content) {}

    /** Something came that belongs to no open request. */
    default void unasked(String what) {}

    /** No answer came in time, or the connection ended without one. */
    default void unanswered(String id, String why) {}

    /** Nothing is owed any more: its balancer was killed on purpose, or it was never reached. */
    default void excused(String id) {}
}
