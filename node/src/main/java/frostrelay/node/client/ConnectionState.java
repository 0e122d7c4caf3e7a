package frostrelay.node.client;

/** The state of a client connection. Transitions only move forward in this order. */
enum ConnectionState {
    /** Commands are started. */
    OPEN,
    /** No further commands are started, but responses are still pending. */
    CLOSING,
    /** The last response is being written, after which the output is shut down. */
    OUTPUT_CLOSING,
    /** The output has been shut down, and the client's close is awaited. */
    OUTPUT_SHUT_DOWN,
    /** The channel is closed. */
    DISCONNECTED;

    /**
     * Returns whether a shutdown of the output has been requested and the channel is not closed
     * yet.
     */
    boolean isOutputClosing() {
        return this == OUTPUT_CLOSING || this == OUTPUT_SHUT_DOWN;
    }

    /** Returns whether no further commands are started and the channel is not closed yet. */
    boolean isClosing() {
        return this == CLOSING || isOutputClosing();
    }
}
