package frostrelay.node.memcache;

/** A client's command breaks the protocol; the message is the complete error response. */
public final class MalformedCommandException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Made without a stack trace, as clients can cause any number of these. */
    MalformedCommandException(String description) {
        super("CLIENT_ERROR " + description, null, false, false);
    }
}
