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

/** A list of cache hosts in discovery's form: all of them, or those that changed. */
public record EndpointList(long revision, boolean isFull, List<Endpoint> endpoints) {
    private static final int MAX_PORT = 0xffff;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** A host as the module knows it, and where it is reached from here. */
    public record Endpoint(String uid, Server server, InetSocketAddress address) {}

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
        // The id comes from the uid, never from the endpoint, which differs from balancer to
        // balancer:
        // rendezvous hashing and slow start need the same id everywhere.
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

    /** FNV-1a: the same 64-bit number for a text at every balancer. */
    public static long serverId(String text) {
        long hash = FNV_OFFSET;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /** Reads ADDRESS:PORT; names are not looked up, as there is no DNS. */
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
            // Told below.
        }
        throw new ConfigException("no address and port: " + text);
    }
}
