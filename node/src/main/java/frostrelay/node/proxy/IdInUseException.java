package frostrelay.node.proxy;

/**
 * Another request with the same id is open, and servers know requests by their ids alone. Made
 * without a stack trace, as clients can cause any number of these.
 */
public final class IdInUseException extends Exception {
    private static final long serialVersionUID = 1L;

    IdInUseException() {
        super("id is in use", null, false, false);
    }
}
