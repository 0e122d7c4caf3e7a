package frostrelay.node.proxy;

/**
 * Thrown when another request with the same id is open, because servers identify requests by their
 * ids alone. Has no stack trace, because clients can cause any number of these exceptions.
 */
public final class IdInUseException extends Exception {
    private static final long serialVersionUID = 1L;

    IdInUseException() {
        super("id is in use", null, false, false);
    }
}
