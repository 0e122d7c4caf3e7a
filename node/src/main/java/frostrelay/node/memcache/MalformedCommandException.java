package frostrelay.node.memcache;

/** Thrown if a client's command violates the protocol; the message is the full error response. */
public final class MalformedCommandException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a stack trace, as clients can cause any number of them. */
    MalformedCommandException(String description) {
        super("CLIENT_ERROR " + description, null, false, false);
    }
}
