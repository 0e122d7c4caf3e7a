package frostrelay.node;

import frostrelay.peers.Stamp;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * What the deployment tells this balancer. {@code console}: where operators call, or null; {@code
 * json}: all of it as it was told.
 */
record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress console,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        Site site,
        Catalog known,
        Map<?, ?> json) {
    private static final int DEFAULT_SOCKETS = 1024;

    static Config read(ConfigFile file) {
        return parse(file.load());
    }

    /**
     * What replaces this configuration: it must be whole, and goes by the numbering of this one.
     */
    Config succeed(Map<?, ?> fresh) {
        ConfigCheck.replaces(json, fresh);
        return parse(fresh, site.succeed(Json.get(fresh, "settings", Map.class), Clock.now()));
    }

    /** The operators' version number of it, or {@link Stamp#NO_NUMBER}. */
    long version() {
        return Json.get(json, "version", Number.class, Stamp.NO_NUMBER).longValue();
    }

    /**
     * Of the settings that all balancers of a tier share: the same for the same, in whatever order
     * they stand.
     */
    long digest() {
        return Digests.of(Site.shared(Json.get(json, "settings", Map.class)));
    }

    static Config parse(Map<?, ?> json) {
        ConfigCheck.values(json);
        return parse(json, new Site(Json.get(json, "settings", Map.class)));
    }

    private static Config parse(Map<?, ?> json, Site site) {
        Map<?, ?> limits = Json.get(json, "limits", Map.class, Map.of());
        Map<?, ?> known = Json.get(json, "known", Map.class, Map.of("rev", 0, "all", true));
        String console = Json.get(json, "console", String.class, null);
        try {
            return new Config(
                    Json.get(json, "name", String.class, "balancer"),
                    Catalog.address(Json.get(json, "listen", String.class)),
                    console == null ? null : Catalog.address(console),
                    Catalog.address(Json.get(json, "discovery", String.class)),
                    Long.parseUnsignedLong(Json.get(json, "seed", String.class, "0"), 16),
                    Json.get(limits, "sockets", Number.class, DEFAULT_SOCKETS).intValue(),
                    site,
                    Catalog.parse(known, site),
                    json);
        } catch (NumberFormatException e) {
            throw new ConfigException("'seed' is no hexadecimal number");
        }
    }
}
