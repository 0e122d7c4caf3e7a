package frostrelay.healthreports;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Evidence that others are to hear, and whom it was told: each one once in large tiers, so that
 * none is wasted on who knows it, and twice in small ones. The newest goes first; what is too old
 * goes nowhere. For one thread.
 */
final class ReportQueue {
    /**
     * In tiers of so few others everybody is told straight, twice: at 30% loss nine of a hundred
     * miss both, and probes follow.
     */
    static final int SMALL_CLUSTER_PEERS = 16;

    private static final int SENDS_PER_PEER = 2;
    private static final int MAX_ITEMS = 256;

    /** What is told: evidence of a writer on a cache. */
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

    /** What was handed out last. */
    private final Map<Key, Item> lastBatch = new LinkedHashMap<>();

    /**
     * {@code fanout}: of own evidence; {@code relayFanout}: of what another said, in tiers that are
     * not small.
     */
    ReportQueue(int localRank, int clusterSize, int fanout, int relayFanout, long expiryNanos) {
        this.localRank = localRank;
        peerCount = clusterSize - 1;
        smallCluster = peerCount <= SMALL_CLUSTER_PEERS;
        this.fanout = fanout;
        this.relayFanout = relayFanout;
        this.expiryNanos = expiryNanos;
    }

    boolean isSmallCluster() {
        return smallCluster;
    }

    /** Own evidence, or another's in its own words, is news. */
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

    /** What another said of a cache need not be passed on any more: enough say so. */
    void dropRelayed(long cache) {
        items.keySet().removeIf(key -> key.cache == cache && key.reporter != localRank);
    }

    boolean isEmpty() {
        return items.isEmpty();
    }

    /** Whether anything is left that this one was not told as often as it should be. */
    boolean hasPending(int to) {
        return items.values().stream().anyMatch(item -> isDue(item, to));
    }

    private boolean isDue(Item item, int to) {
        return item.report.rank() != to
                && item.remainingSends > 0
                && item.sendsByPeer.getOrDefault(to, 0) < (smallCluster ? SENDS_PER_PEER : 1);
    }

    /** What was handed out last for that one did not go out: it is to be told yet. */
    void onSendFailed(int to) {
        lastBatch.forEach(
                (key, item) -> {
                    item.sendsByPeer.merge(to, -1, Integer::sum);
                    item.remainingSends++;
                    items.putIfAbsent(key, item);
                });
        lastBatch.clear();
    }

    /** The newest that fits, own ones or what others said, marked as told to that one. */
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
