package frostrelay.audit;

/** Thrown if the content of an entry with a valid checksum does not match the entry's type. */
final class EntryFormatException extends Exception {
    private static final long serialVersionUID = 1;

    EntryFormatException(String message) {
        super(message);
    }

    EntryFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
