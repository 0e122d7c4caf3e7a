package frostrelay.node.cluster;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.audit.AuditLog;
import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.GossipNode;
import frostrelay.gossip.MemberSnapshot;
import frostrelay.gossip.MemberState;
import frostrelay.node.time.Clock;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The cluster status in JSON for the admin server; operators' scripts depend on its keys. */
final class ClusterStatus {
    private final String balancer;
    private final int rank;
    private final long startNanos;
    private final AuditLog auditLog;

    /** Null without peers. */
    private final GossipTransport transport;

    private final StateSharingServices services;

    ClusterStatus(
            String balancer,
            int rank,
            long startNanos,
            AuditLog auditLog,
            GossipTransport transport,
            StateSharingServices services) {
        this.balancer = balancer;
        this.rank = rank;
        this.startNanos = startNanos;
        this.auditLog = auditLog;
        this.transport = transport;
        this.services = services;
    }

    /**
     * Returns the current status.
     *
     * @param startIncarnation shown while gossip does not run
     * @param wallMillis Unix milliseconds
     * @param storage {@link AuditStorage#describe}
     */
    byte[] toJson(long startIncarnation, long wallMillis, String storage) {
        long now = Clock.now();
        GossipNode node = transport == null ? null : transport.node();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("balancer", balancer);
        fields.put("number", rank);
        fields.put("incarnation", node == null ? startIncarnation : node.incarnation());
        fields.put("livedMs", (now - startNanos) / Clock.NANOS_PER_MILLISECOND);
        fields.put("wallMs", wallMillis);
        fields.put("actsOn", describeVersions(auditLog.appliedVersions()));
        fields.put("stamps", auditLog.sequence());
        fields.put("sinceMs", (now - auditLog.appliedAtNanos()) / Clock.NANOS_PER_MILLISECOND);
        fields.put("why", auditLog.cause().name().toLowerCase(Locale.ROOT));
        fields.put("record", storage);
        services.describe(fields);
        fields.put("peers", node == null ? "silent" : describePeers(node, now));
        if (node != null) {
            fields.put("datagrams", describeDatagrams(node));
        }
        try {
            return JSON.std.asBytes(fields);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Map<String, Object> describeDatagrams(GossipNode node) {
        GossipNode.Counters counters = node.counters();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("sent", counters.sent);
        fields.put("sentBytes", counters.sentBytes);
        fields.put("received", counters.received);
        fields.put("damaged", counters.damaged);
        fields.put("foreign", counters.foreign + transport.foreignDatagrams());
        fields.put("oversized", counters.oversized);
        fields.put("newer", counters.unsupportedVersion);
        fields.put("wrongSender", counters.wrongSender);
        fields.put("implausible", counters.implausible);
        fields.put("overCeiling", counters.rateLimited);
        fields.put("suspicions", counters.suspicions);
        fields.put("objections", counters.refutations);
        fields.put("pauses", counters.pauses);
        return fields;
    }

    private List<Object> describePeers(GossipNode node, long now) {
        List<Object> rows = new ArrayList<>();
        for (int i = 0; i < node.memberCount(); i++) {
            if (i == rank) {
                continue;
            }
            MemberSnapshot snapshot = node.snapshot(now, i);
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("number", i);
            row.put("state", snapshot.state().name().toLowerCase(Locale.ROOT));
            row.put("incarnation", snapshot.incarnation());
            row.put("stamps", snapshot.sequence());
            // Only a living peer is assumed to act on the versions it sent last; those of other
            // peers are shown as last known, with their age.
            row.put(
                    "actsOn",
                    snapshot.appliedVersions() == null || snapshot.state() != MemberState.ALIVE
                            ? "unknown"
                            : describeVersions(snapshot.appliedVersions()));
            if (snapshot.appliedVersions() != null && snapshot.state() != MemberState.ALIVE) {
                row.put("lastKnown", describeVersions(snapshot.appliedVersions()));
            }
            if (services.detectsStaleness()) {
                row.put("heeded", services.staleInstances().freshnessLabel(i));
            }
            row.put(
                    "ageMs",
                    snapshot.ageNanos() < 0
                            ? -1
                            : snapshot.ageNanos() / Clock.NANOS_PER_MILLISECOND);
            rows.add(row);
        }
        return rows;
    }

    private static Map<String, Object> describeVersions(AppliedVersions versions) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("build", String.format(Locale.ROOT, "%08x", versions.buildDigest()));
        fields.put("config", versions.configNumber());
        fields.put("configDigest", String.format(Locale.ROOT, "%016x", versions.configDigest()));
        fields.put("list", versions.listRevision());
        fields.put("listDigest", String.format(Locale.ROOT, "%016x", versions.listDigest()));
        fields.put("holds", String.format(Locale.ROOT, "%016x", versions.adminDrainsDigest()));
        return fields;
    }
}
