package frostrelay.node.proxy;

import frostrelay.policy.api.SlowStartStatus;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Formats what servers in slow start get, to tell a server that is overloaded by this balancer from
 * one that is kept idle.
 */
final class SlowStartGauges {
    /** More would make the line too long for log viewers. */
    private static final int MAX_SERVERS = 8;

    private SlowStartGauges() {}

    /**
     * Adds, for each server, the work sent in the current window, the work allowed in a window, and
     * how often a request was held back; nothing if no server is in slow start. Work is in units of
     * a typical request's.
     */
    static void collect(List<SlowStartStatus> statuses, Map<String, Object> gauges) {
        if (statuses.isEmpty()) {
            return;
        }
        Map<String, Object> byServer = new LinkedHashMap<>();
        for (SlowStartStatus status : statuses) {
            if (byServer.size() < MAX_SERVERS) {
                byServer.put(Long.toHexString(status.serverId()), describe(status));
            }
        }
        gauges.put("slow-start-servers", statuses.size());
        gauges.put("slow-start", byServer);
    }

    private static String describe(SlowStartStatus status) {
        return String.format(
                Locale.ROOT,
                "sent %.1f of %.1f, held back %d",
                status.sentWork(),
                status.allowedWork(),
                status.heldBack());
    }
}
