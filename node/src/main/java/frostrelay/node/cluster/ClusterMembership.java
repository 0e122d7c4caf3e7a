package frostrelay.node.cluster;

import frostrelay.node.config.Config;
import frostrelay.node.metrics.Counters;
import frostrelay.node.proxy.DecisionObserver;

import io.netty.channel.EventLoop;

import java.util.Set;

/**
 * This balancer's membership in its cluster: gossip with its peers, and its audit record. Either
 * may be switched off; with both off this base class does nothing.
 */
public class ClusterMembership {
    private static final ClusterMembership STANDALONE = new ClusterMembership();

    /** Effects of the cluster on this balancer. */
    public interface Actions {
        /** Polls discovery. */
        void refreshEndpoints();

        /** Reads the configuration file again. */
        void rereadConfig();

        /**
         * Replaces the sets of caches that are avoided because of peers: those that newer endpoint
         * lists of peers have dropped, and those that operators of peers drain.
         */
        void setAvoidedCaches(Set<Long> caches, Set<Long> drainedByPeers);

        /** Starts or ends the drain of this balancer by itself because it is stale. */
        void setWithdrawn(boolean withdrawn);

        /** Replaces the set of caches that are outliers by health reports. */
        void setOutliers(Set<Long> outliers);

        /** Returns the shared settings in effect, encoded for a peer. */
        byte[] encodeSettings();

        /** Applies a peer's settings; returns false if the digest differs or they are invalid. */
        boolean applySettings(long digest, byte[] encoded);
    }

    /** Creates a membership with the functions that options and configuration both enable. */
    public static ClusterMembership of(
            Config config,
            ClusterOptions options,
            TestHooks testHooks,
            EventLoop loop,
            Counters counters,
            Actions actions) {
        if (!options.gossipEnabled() && !options.auditEnabled()) {
            return STANDALONE;
        }
        return new ClusterMember(config, options, testHooks, loop, counters, actions);
    }

    /** Returns the observer that is to be notified of all decisions. */
    public DecisionObserver observer() {
        return DecisionObserver.NONE;
    }

    /** Starts gossip when the process has begun to serve. */
    public void onServing() {}

    /** Sets whether this process, among those of one balancer, takes part in gossip. */
    public void setGossipActive(boolean active) {}

    /** Stops gossip at shutdown; {@code replaced}: another process continues as this balancer. */
    public void onShutdown(boolean replaced) {}

    /** Runs periodic work; to be called a few times a second. */
    public void tick() {}

    /** Returns the status for the admin server as JSON; null if gossip and auditing are off. */
    public byte[] statusJson() {
        return null;
    }

    /** Returns the audit record so far; null if auditing is off. */
    public byte[] auditRecord() {
        return null;
    }

    /** Returns whether this balancer detects its own staleness, which operators may override. */
    public boolean detectsStaleness() {
        return false;
    }

    /** Sets operators' overrides, see {@link frostrelay.staleness.OperatorOverrides}. */
    public void setOverrides(Set<String> overrides) {}

    /** Notifies staleness detection of a rejected configuration with this version number. */
    public void onConfigRejected(long configVersion) {}

    /** Records the shutdown and closes the audit record. */
    public void close() {}
}
