package frostrelay.node.config;

/**
 * Thrown if the configuration, settings of a peer or an endpoint list is invalid. The message is
 * one line that describes the error and names the key, if there is one.
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
