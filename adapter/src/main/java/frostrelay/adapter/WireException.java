package frostrelay.adapter;

/** Reports input that violates the wire protocol. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }

    WireException(String message, Throwable cause) {
        super(message, cause);
    }
}
