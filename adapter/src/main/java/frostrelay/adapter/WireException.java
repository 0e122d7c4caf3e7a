package frostrelay.adapter;

/** The input breaks the rules of the wire; the message says how. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }

    WireException(String message, Throwable cause) {
        super(message, cause);
    }
}
