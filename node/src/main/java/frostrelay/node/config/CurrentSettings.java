package frostrelay.node.config;

/**
 * The settings that hold now: one value, swapped whole, so that nothing ever goes by half of the
 * new ones.
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
