package frostrelay.settings;

/** A setting that cannot be used. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SettingsException(String message) {
        super(message);
    }
}
