package frostrelay.node.config;

import frostrelay.gossip.AppliedVersions;
import frostrelay.node.time.Clock;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * The configuration of this balancer, as provided by the deployment.
 *
 * @param name this balancer's name in the log
 * @param listenAddress the address on which clients connect
 * @param adminAddress the address on which administrators connect, or null for none
 * @param discoveryAddress the address of the discovery, which provides the endpoint list
 * @param seed seed of the decision module's random numbers
 * @param descriptorLimit file descriptors that all processes of this balancer may use together
 * @param settings the settings of the deployment
 * @param initialEndpoints the endpoint list known at the start
 * @param json the whole configuration as it was parsed
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

    /**
     * Reads and validates a configuration file.
     *
     * @throws ConfigException if it cannot be read or is invalid
     */
    public static Config read(ConfigFile file) {
        return parse(file.load());
    }

    /**
     * Returns the configuration that replaces this one; names keep the numbers assigned here.
     *
     * @throws ConfigException if it is invalid or lacks a key that this one has
     */
    public Config replacedBy(Map<?, ?> newJson) {
        ConfigValidator.checkReplacement(json, newJson);
        return parse(
                newJson,
                settings.replacedBy(Json.get(newJson, "settings", Map.class), Clock.now()));
    }

    /** Returns the version number set by operators, or {@link AppliedVersions#NO_NUMBER}. */
    public long version() {
        return Json.get(json, "version", Number.class, AppliedVersions.NO_NUMBER).longValue();
    }

    /**
     * Returns the digest of the settings that all balancers of a tier share; independent of the
     * order of the keys.
     */
    public long settingsDigest() {
        return Digests.of(DeploymentSettings.sharedText(Json.get(json, "settings", Map.class)));
    }

    /**
     * Validates and converts a parsed configuration file.
     *
     * @throws ConfigException if a key is missing or has an invalid value
     */
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
            throw new ConfigException(
                    "'seed' is not a hexadecimal number of up to 64 bits: " + json.get("seed"), e);
        }
    }
}
