package frostrelay.node.config;

/**
 * The settings in effect, replaced as a whole, so that no component sees a mix of old and new ones.
 * Owned by the event loop; not thread-safe.
 */
public final class CurrentSettings {
    private DeploymentSettings settings;

    public CurrentSettings(DeploymentSettings settings) {
        this.settings = settings;
    }

    public DeploymentSettings get() {
        return settings;
    }

    public void replace(DeploymentSettings newSettings) {
        settings = newSettings;
    }
}
