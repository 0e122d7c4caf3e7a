package frostrelay.audit;

/** The content of an entry with a valid checksum does not have the form that its type asks for. */
final class EntryFormatException extends Exception {
    private static final long serialVersionUID = 1;

    EntryFormatException(String message) {
        super(message);
    }

    EntryFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
