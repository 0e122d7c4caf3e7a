package frostrelay.node.config;

import frostrelay.node.time.Clock;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.Server;

import io.netty.util.NetUtil;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A list of cache servers, as provided by the discovery.
 *
 * @param revision the discovery's version number of the list
 * @param isFull whether the list contains all servers, or only those that changed
 * @param endpoints the servers
 */
public record EndpointList(long revision, boolean isFull, List<Endpoint> endpoints) {
    private static final int MAX_PORT = 0xffff;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /**
     * A cache server.
     *
     * @param uid the discovery's id of the server
     * @param server the server as the decision module knows it
     * @param address the address at which this balancer connects to it
     */
    public record Endpoint(String uid, Server server, InetSocketAddress address) {}

    /**
     * Parses a list.
     *
     * @throws ConfigException if a key is missing or has an invalid value
     */
    public static EndpointList parse(Map<?, ?> json, DeploymentSettings settings) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Object target : Json.list(json, "targets")) {
            endpoints.add(parseEndpoint(Json.object(target), settings));
        }
        return new EndpointList(
                Json.get(json, "rev", Number.class).longValue(),
                Json.get(json, "all", Boolean.class),
                endpoints);
    }

    private static Endpoint parseEndpoint(Map<?, ?> json, DeploymentSettings settings) {
        EndpointState state =
                switch (Json.get(json, "state", String.class)) {
                    case "Ready" -> EndpointState.READY;
                    case "Terminating" -> EndpointState.DRAINING;
                    case "Gone" -> EndpointState.REMOVED;
                    default ->
                            throw new ConfigException(
                                    "unknown state of a cache host: " + json.get("state"));
                };
        // The id is derived from the uid, not from the endpoint, which differs from balancer to
        // balancer: rendezvous hashing and slow start need the same id everywhere.
        String uid = Json.get(json, "uid", String.class);
        Server server =
                new Server(
                        serverId(uid),
                        settings.zoneNumber(Json.get(json, "az", String.class, "")),
                        settings.kindNumber(Json.get(json, "model", String.class, "")),
                        Json.get(json, "pod_group", Number.class, 0).intValue(),
                        state,
                        Json.get(json, "capacity_hint", Number.class, 1).doubleValue(),
                        Json.get(json, "boot_ms", Number.class, 0).longValue()
                                * Clock.NANOS_PER_MILLISECOND);
        return new Endpoint(uid, server, parseAddress(Json.get(json, "endpoint", String.class)));
    }

    /** Returns the 64-bit FNV-1a hash of the text's UTF-8 bytes, the same at every balancer. */
    public static long serverId(String text) {
        long hash = FNV_OFFSET;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /**
     * Parses ADDRESS:PORT. The address must be numeric, as there is no DNS.
     *
     * @throws ConfigException if the text has another form
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        byte[] address =
                colon < 0
                        ? null
                        : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            int port = address == null ? -1 : Integer.parseInt(text.substring(colon + 1));
            if (port >= 0 && port <= MAX_PORT) {
                return new InetSocketAddress(InetAddress.getByAddress(address), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // Reported by the exception below, like any other invalid text.
        }
        throw new ConfigException("not a numeric ADDRESS:PORT with a port of 0 to 65535: " + text);
    }
}
