package frostrelay.node.config;

/** The configuration, or a list from discovery, is not what the deployment promises. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ConfigException(String message) {
        super(message);
    }
}
