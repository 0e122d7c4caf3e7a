package frostrelay.node.client;

/** How far the end of a client's connection has come; it only moves forward. */
enum ConnectionState {
    /** Commands are begun. */
    OPEN,
    /** No command is begun any more; responses are still due. */
    CLOSING,
    /** The last response is being written, and the end of the output follows it. */
    OUTPUT_CLOSING,
    /** The output has ended; only the client's end is awaited. */
    OUTPUT_SHUT_DOWN,
    /** The channel is closed. */
    DISCONNECTED;

    /** Whether the end of the output has been requested on a connection that is not closed yet. */
    boolean isOutputClosing() {
        return this == OUTPUT_CLOSING || this == OUTPUT_SHUT_DOWN;
    }

    /** Whether no command is begun any more on a connection that is not closed yet. */
    boolean isClosing() {
        return this == CLOSING || isOutputClosing();
    }
}
