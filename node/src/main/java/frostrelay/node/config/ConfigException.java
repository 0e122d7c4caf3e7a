package frostrelay.node.config;

/**
 * The configuration, settings of a peer or an endpoint list is invalid. The message is one line
 * that says what is wrong and, where there is one, names the key.
 */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ConfigException(String message) {
        super(message);
    }

    public ConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
