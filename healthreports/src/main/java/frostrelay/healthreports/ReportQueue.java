package frostrelay.healthreports;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A queue of reports to be sent to peers, which counts the sends to each peer. In large clusters a
 * report is sent once to each of a limited number of peers, in small ones twice to every peer.
 * Newer reports are sent first; expired ones are dropped. Not thread-safe.
 */
final class ReportQueue {
    /**
     * Number of peers up to which every peer is sent each report directly, twice. At 30% loss nine
     * of a hundred peers miss both sends; they receive the report with a probe later.
     */
    static final int SMALL_CLUSTER_PEERS = 16;

    private static final int SENDS_PER_PEER = 2;
    private static final int MAX_ITEMS = 256;

    /** A reporter has at most one queued report on a cache. */
    private record Key(long cache, int reporter) {}

    private static final class Item {
        HealthReport report;
        long writtenAtNanos;
        int remainingSends;
        final Map<Integer, Integer> sendsByPeer = new HashMap<>();
    }

    private final int localRank;
    private final boolean smallCluster;
    private final int peerCount;
    private final int fanout;
    private final int relayFanout;
    private final long expiryNanos;
    private final Map<Key, Item> items = new LinkedHashMap<>();

    /** The reports of the latest {@link #nextBatch}, for {@link #onSendFailed}. */
    private final Map<Key, Item> lastBatch = new LinkedHashMap<>();

    ReportQueue(HealthReportSettings settings, int localRank, int clusterSize) {
        this.localRank = localRank;
        peerCount = clusterSize - 1;
        smallCluster = peerCount <= SMALL_CLUSTER_PEERS;
        fanout =
                (int)
                        Math.ceil(
                                settings.fanoutFactor()
                                        * Math.log(clusterSize + 1.0)
                                        / Math.log(2));
        relayFanout = settings.relayFanout();
        expiryNanos = settings.expiryNanos();
    }

    boolean isSmallCluster() {
        return smallCluster;
    }

    /**
     * Queues a report in place of its reporter's previous one on that cache. The reporter is this
     * balancer, or a peer whose direct report is to be relayed; small clusters relay no reports.
     */
    void add(long cache, HealthReport report, long writtenAtNanos) {
        boolean local = report.rank() == localRank;
        if (smallCluster && !local) {
            return;
        }
        Key key = new Key(cache, report.rank());
        items.remove(key);
        if (items.size() >= MAX_ITEMS) {
            items.remove(items.keySet().iterator().next());
        }
        Item item = new Item();
        item.report = report;
        item.writtenAtNanos = writtenAtNanos;
        item.remainingSends =
                smallCluster ? SENDS_PER_PEER * peerCount : local ? fanout : relayFanout;
        items.put(key, item);
    }

    /** Drops relayed reports on a cache that has enough reporters already. */
    void dropRelayed(long cache) {
        items.keySet().removeIf(key -> key.cache == cache && key.reporter != localRank);
    }

    boolean isEmpty() {
        return items.isEmpty();
    }

    /** Returns whether any report is still to be sent to this peer. */
    boolean hasPending(int to) {
        return items.values().stream().anyMatch(item -> isDue(item, to));
    }

    private boolean isDue(Item item, int to) {
        return item.report.rank() != to
                && item.remainingSends > 0
                && item.sendsByPeer.getOrDefault(to, 0) < (smallCluster ? SENDS_PER_PEER : 1);
    }

    /** Makes the reports of the latest batch due again, as it was not sent to this peer. */
    void onSendFailed(int to) {
        lastBatch.forEach(
                (key, item) -> {
                    item.sendsByPeer.merge(to, -1, Integer::sum);
                    item.remainingSends++;
                    items.putIfAbsent(key, item);
                });
        lastBatch.clear();
    }

    /**
     * Writes the newest due reports that fit, this balancer's own or relayed ones, and counts them
     * as sent to that peer.
     */
    ByteBuffer nextBatch(long now, int to, int capacityBytes, boolean local) {
        lastBatch.clear();
        int reportBytes = local ? HealthReport.BYTES : HealthReport.RELAYED_BYTES;
        int maxReports = capacityBytes / reportBytes;
        if (maxReports <= 0) {
            return ByteBuffer.allocate(0);
        }
        ByteBuffer out = ByteBuffer.allocate(Math.min(maxReports, items.size()) * reportBytes);
        List<Map.Entry<Key, Item>> entries = new ArrayList<>(items.entrySet());
        for (int i = entries.size() - 1; i >= 0 && out.remaining() >= reportBytes; i--) {
            Item item = entries.get(i).getValue();
            Key key = entries.get(i).getKey();
            if (now - item.writtenAtNanos >= expiryNanos) {
                items.remove(key);
            } else if (local == (key.reporter == localRank) && isDue(item, to)) {
                item.report.write(out, key.cache, now - item.writtenAtNanos, !local);
                item.sendsByPeer.merge(to, 1, Integer::sum);
                lastBatch.put(key, item);
                if (--item.remainingSends <= 0) {
                    items.remove(key);
                }
            }
        }
        return out.flip();
    }
}
