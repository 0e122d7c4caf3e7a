package frostrelay.node.cluster;

import frostrelay.node.config.Config;
import frostrelay.node.metrics.Counters;
import frostrelay.node.proxy.DecisionObserver;

import io.netty.channel.EventLoop;

import java.util.Set;

/**
 * This balancer's membership in its cluster: gossip with its peers, and its audit record. Either
 * may be off; with both off this class itself does nothing.
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
         * Exactly these caches are avoided because of peers: by their endpoint lists, and by their
         * operators' administrative drains.
         */
        void setAvoidedCaches(Set<Long> caches, Set<Long> drainedByPeers);

        /** This balancer drains itself as stale, or ends that. */
        void setWithdrawn(boolean withdrawn);

        /** Exactly these caches are outliers by health reports. */
        void setOutliers(Set<Long> outliers);

        /** The shared settings in force, encoded for a peer. */
        byte[] encodeSettings();

        /** Applies a peer's settings; false if they do not have that digest or are not valid. */
        boolean applySettings(long digest, byte[] packed);
    }

    /** Creates what the options ask for and the platform allows. */
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

    /** Is to be notified of all decisions. */
    public DecisionObserver observer() {
        return DecisionObserver.NONE;
    }

    /** The process serves from now on; gossip starts. */
    public void onServing() {}

    /** Whether this process, of those of one balancer, takes part in gossip. */
    public void setGossipActive(boolean active) {}

    /** Shutdown begins; {@code replaced}: another process goes on as the same balancer. */
    public void onShutdown(boolean replaced) {}

    /** To be called a few times a second. */
    public void tick() {}

    /** The status for the admin server as JSON; null if gossip and auditing are off. */
    public byte[] statusJson() {
        return null;
    }

    /** The audit record so far; null if auditing is off. */
    public byte[] auditRecord() {
        return null;
    }

    /** Whether it detects that it is stale, which operators may override. */
    public boolean detectsStaleness() {
        return false;
    }

    /** Sets operators' overrides, see {@link frostrelay.staleness.OperatorOverrides}. */
    public void setOverrides(Set<String> overrides) {}

    /** A configuration with this version number was read and rejected. */
    public void onConfigRejected(long configVersion) {}

    /** Records the shutdown and closes the audit record. */
    public void close() {}
}
