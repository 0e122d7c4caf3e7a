package frostrelay.settings;

/** A setting has a value that cannot be used; the message names the setting and the value. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SettingsException(String message) {
        super(message);
    }

    SettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
