package frostrelay.node.cluster;

import frostrelay.node.config.Config;
import frostrelay.node.config.EndpointList;
import frostrelay.node.config.Json;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reads the cluster's gossip addresses from the platform's configuration. */
final class PeerAddresses {
    private static final int MAX_PEERS = 4096;

    private PeerAddresses() {}

    /** Returns all balancers' addresses by rank; empty if gossip is unconfigured or disallowed. */
    static List<InetSocketAddress> of(Config config) {
        Map<?, ?> ceilings =
                Json.get(
                        Json.get(config.json(), "settings", Map.class),
                        "ceilings",
                        Map.class,
                        Map.of());
        String reason = null;
        List<InetSocketAddress> addresses = new ArrayList<>();
        if (!"true".equals(String.valueOf(ceilings.get("peer-messages")))) {
            reason = "'ceilings.peer-messages' does not allow it";
        } else if (Json.get(config.json(), "peer_listen", String.class, null) == null) {
            reason = "'peer_listen' is missing";
        } else {
            for (Object peer : Json.list(config.json(), "peers")) {
                addresses.add(EndpointList.parseAddress(String.valueOf(peer)));
            }
            int rank = config.settings().policySettings.instanceIndex();
            if (rank >= addresses.size() || addresses.size() < 2 || addresses.size() > MAX_PEERS) {
                reason =
                        "'peers' must have 2 to "
                                + MAX_PEERS
                                + " entries, more than this balancer's number "
                                + rank
                                + ", but has "
                                + addresses.size();
            }
        }
        if (reason != null) {
            Log.write(Event.GOSSIP_DISABLED, reason);
            return List.of();
        }
        return addresses;
    }
}
