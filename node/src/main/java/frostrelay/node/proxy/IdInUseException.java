package frostrelay.node.proxy;

/** Hosts know requests by their ids alone, and another one is open under this. */
public final class IdInUseException extends Exception {
    private static final long serialVersionUID = 1L;

    IdInUseException() {
        super("id is in use", null, false, false);
    }
}
