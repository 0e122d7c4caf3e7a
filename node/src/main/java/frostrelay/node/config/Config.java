package frostrelay.node.config;

import frostrelay.gossip.AppliedVersions;
import frostrelay.node.time.Clock;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * What the deployment tells this balancer. {@code adminAddress}: where operators call, or null;
 * {@code json}: all of it as it was told.
 */
public record Config(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress adminAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int descriptorLimit,
        DeploymentSettings settings,
        EndpointList initialEndpoints,
        Map<?, ?> json) {
    private static final int DEFAULT_DESCRIPTOR_LIMIT = 1024;

    public static Config read(ConfigFile file) {
        return parse(file.load());
    }

    /**
     * What replaces this configuration: it must be whole, and goes by the numbering of this one.
     */
    public Config replacedBy(Map<?, ?> newJson) {
        ConfigValidator.checkReplacement(json, newJson);
        return parse(
                newJson,
                settings.replacedBy(Json.get(newJson, "settings", Map.class), Clock.now()));
    }

    /** The operators' version number of it, or {@link AppliedVersions#NO_NUMBER}. */
    public long version() {
        return Json.get(json, "version", Number.class, AppliedVersions.NO_NUMBER).longValue();
    }

    /**
     * Of the settings that all balancers of a tier share: the same for the same, in whatever order
     * they stand.
     */
    public long settingsDigest() {
        return Digests.of(DeploymentSettings.sharedText(Json.get(json, "settings", Map.class)));
    }

    public static Config parse(Map<?, ?> json) {
        ConfigValidator.checkValues(json);
        return parse(json, new DeploymentSettings(Json.get(json, "settings", Map.class)));
    }

    private static Config parse(Map<?, ?> json, DeploymentSettings settings) {
        Map<?, ?> limits = Json.get(json, "limits", Map.class, Map.of());
        Map<?, ?> endpointsJson = Json.get(json, "known", Map.class, Map.of("rev", 0, "all", true));
        String adminText = Json.get(json, "console", String.class, null);
        try {
            return new Config(
                    Json.get(json, "name", String.class, "balancer"),
                    EndpointList.parseAddress(Json.get(json, "listen", String.class)),
                    adminText == null ? null : EndpointList.parseAddress(adminText),
                    EndpointList.parseAddress(Json.get(json, "discovery", String.class)),
                    Long.parseUnsignedLong(Json.get(json, "seed", String.class, "0"), 16),
                    Json.get(limits, "sockets", Number.class, DEFAULT_DESCRIPTOR_LIMIT).intValue(),
                    settings,
                    EndpointList.parse(endpointsJson, settings),
                    json);
        } catch (NumberFormatException e) {
            throw new ConfigException("'seed' is no hexadecimal number");
        }
    }
}
