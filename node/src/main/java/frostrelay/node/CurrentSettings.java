package frostrelay.node;

/**
 * The settings that hold now: one value, swapped whole, so that nothing ever goes by half of the
 * new ones.
 */
final class CurrentSettings {
    private DeploymentSettings settings;

    CurrentSettings(DeploymentSettings settings) {
        this.settings = settings;
    }

    DeploymentSettings get() {
        return settings;
    }

    void replace(DeploymentSettings newSettings) {
        settings = newSettings;
    }
}
