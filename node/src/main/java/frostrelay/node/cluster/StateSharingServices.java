package frostrelay.node.cluster;

import frostrelay.audit.AuditLog;
import frostrelay.gossip.MemberState;
import frostrelay.gossip.PayloadBuffer;
import frostrelay.healthreports.AttemptObservation;
import frostrelay.node.metrics.Counters;
import frostrelay.node.proxy.DecisionObserver;

import io.netty.channel.EventLoop;

import java.nio.ByteBuffer;
import java.util.Map;

/**
 * The services that share state with peers over gossip: staleness detection, health reports and
 * counters. Each may be switched off; without peers all are. Runs on the event loop.
 */
final class StateSharingServices {
    /** Null without peers. */
    private final GossipTransport transport;

    /** Null if switched off. */
    private final StaleInstanceService staleInstances;

    /** Null if switched off. */
    private final HealthReportService healthReports;

    /** Null if switched off. */
    private final ClusterCounterService clusterCounters;

    /** The identity of a balancer among its peers; {@code seed}: of its random decisions. */
    record Identity(int rank, int clusterSize, long incarnation, long seed) {}

    private StateSharingServices() {
        transport = null;
        staleInstances = null;
        healthReports = null;
        clusterCounters = null;
    }

    StateSharingServices(
            ClusterOptions options,
            TestHooks testHooks,
            EventLoop loop,
            Counters counters,
            ClusterMembership.Actions actions,
            AuditLog auditLog,
            GossipTransport transport,
            Identity identity) {
        this.transport = transport;
        staleInstances =
                !options.stalenessDetection()
                        ? null
                        : new StaleInstanceService(
                                options,
                                loop,
                                actions,
                                auditLog,
                                counters,
                                transport,
                                identity.rank,
                                identity.clusterSize,
                                identity.seed ^ identity.incarnation,
                                testHooks.stalenessActions());
        healthReports =
                !options.sharesHealthReports()
                        ? null
                        : new HealthReportService(
                                loop,
                                actions,
                                counters,
                                transport,
                                this::isTrusted,
                                identity.rank,
                                identity.clusterSize,
                                identity.incarnation,
                                testHooks.healthReportActions());
        clusterCounters =
                !options.sharesCounters()
                        ? null
                        : new ClusterCounterService(
                                transport,
                                identity.rank,
                                identity.clusterSize,
                                identity.incarnation,
                                testHooks.counterTotals());
    }

    /** Returns the services of a balancer without peers. */
    static StateSharingServices none() {
        return new StateSharingServices();
    }

    boolean detectsStaleness() {
        return staleInstances != null;
    }

    /** Returns null unless {@link #detectsStaleness}. */
    StaleInstanceService staleInstances() {
        return staleInstances;
    }

    /**
     * Returns whether a peer's health reports count: it must be alive and, with staleness
     * detection, act on a current list.
     */
    private boolean isTrusted(long now, int peerRank) {
        return transport.node() != null
                && transport.node().snapshot(now, peerRank).state() == MemberState.ALIVE
                && (staleInstances == null || staleInstances.isCurrent(peerRank));
    }

    /** Writes the services' sections into a datagram to a peer. */
    void writeSections(long now, int to, PayloadBuffer buffer) {
        if (staleInstances != null) {
            staleInstances.payloadProvider().writeSections(now, to, buffer);
        }
        if (healthReports != null) {
            healthReports.payloadProvider().writeSections(now, to, buffer);
        }
        if (clusterCounters != null) {
            clusterCounters.payloadProvider().writeSections(now, to, buffer);
        }
    }

    /** Passes a received section to all services; each ignores the types of the others. */
    void onSection(
            long now,
            long delayNanos,
            int sender,
            long senderIncarnation,
            int type,
            ByteBuffer content) {
        if (staleInstances != null) {
            staleInstances.onSection(now, sender, type, content);
        }
        if (healthReports != null) {
            healthReports.onSection(now, delayNanos, sender, senderIncarnation, type, content);
        }
        if (clusterCounters != null) {
            clusterCounters.onSection(now, delayNanos, sender, senderIncarnation, type, content);
        }
    }

    /** Applies a new endpoint list: start times in ms and names of its ready caches, by ID. */
    void onReadyCaches(Map<Long, Long> ready, Map<Long, String> names) {
        if (healthReports != null) {
            healthReports.onReadyCaches(ready, names);
        }
    }

    void onAttemptObserved(long cache, AttemptObservation observation, long sentAtNanos) {
        if (healthReports != null) {
            healthReports.onAttemptObserved(cache, observation, sentAtNanos);
        }
    }

    void onIncarnationChange(long incarnation) {
        if (healthReports != null) {
            healthReports.onIncarnationChange(incarnation);
        }
    }

    DecisionObserver trafficObserver() {
        return clusterCounters == null ? DecisionObserver.NONE : clusterCounters;
    }

    /** Runs periodic work; to be called about once a second. */
    void tick(long now) {
        if (staleInstances != null && transport.node() != null) {
            staleInstances.tick(now, transport.node().isIsolated(now));
        }
        if (healthReports != null && transport.node() != null) {
            healthReports.tick(now, transport.node().isIsolated(now));
        }
        if (clusterCounters != null) {
            clusterCounters.tick(now);
        }
    }

    /** Adds the services' state to the admin status. */
    void describe(Map<String, Object> fields) {
        if (staleInstances != null) {
            staleInstances.describe(fields);
        }
        if (healthReports != null) {
            fields.put("judgements", healthReports.describe());
        }
        if (clusterCounters != null) {
            clusterCounters.describe(fields);
        }
    }
}
