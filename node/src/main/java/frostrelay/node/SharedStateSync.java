package frostrelay.node;

import frostrelay.node.admin.OverrideDecision;
import frostrelay.node.client.ClientListener;
import frostrelay.node.cluster.ClusterMembership;
import frostrelay.node.lifecycle.DescriptorUsage;
import frostrelay.node.lifecycle.SharedDirectory;
import frostrelay.node.lifecycle.SharedDirectory.ChangeResult;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.net.TrafficMemory;
import frostrelay.node.proxy.RequestDispatcher;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import java.util.Set;
import java.util.function.Consumer;

/**
 * Synchronizes a node with the state that its balancer's processes share: drains and overrides set
 * by administrators, and the number of serving processes with their descriptor usage. Runs on the
 * event loop, except that the directory's thread reads the usage to publish.
 */
final class SharedStateSync {
    private final EventLoop loop;
    private final SharedDirectory sharedDirectory;
    private final DescriptorLimits descriptorLimits;
    private final RequestDispatcher dispatcher;
    private final ClientListener clientListener;
    private final TrafficMemory memory;
    private final ClusterMembership membership;

    /** Ids of the servers that administrators drained. */
    private Set<String> adminDrains;

    /** The administrators' override decisions, as of the last poll. */
    private Set<String> overrides;

    private int peerProcessCount;

    /** This process's usage as of the last poll; read by the directory's thread. */
    private volatile DescriptorUsage descriptorUsage = new DescriptorUsage(0, 0);

    SharedStateSync(
            EventLoop loop,
            SharedDirectory sharedDirectory,
            SharedDirectory.Snapshot initialState,
            DescriptorLimits descriptorLimits,
            RequestDispatcher dispatcher,
            ClientListener clientListener,
            TrafficMemory memory,
            ClusterMembership membership) {
        this.loop = loop;
        this.sharedDirectory = sharedDirectory;
        this.descriptorLimits = descriptorLimits;
        this.dispatcher = dispatcher;
        this.clientListener = clientListener;
        this.memory = memory;
        this.membership = membership;
        adminDrains = initialState.adminDrains();
        overrides = initialState.overrides();
        peerProcessCount = initialState.peerProcessCount();
        memory.setPeerProcessCount(peerProcessCount);
    }

    /** Registers this process as serving and starts to poll the shared state. */
    void start() {
        membership.setOverrides(overrides);
        sharedDirectory.announceAndPoll(
                () -> descriptorUsage, sharedState -> loop.execute(() -> apply(sharedState)));
    }

    private void apply(SharedDirectory.Snapshot sharedState) {
        applyAdminDrains(sharedState.adminDrains());
        applyOverrides(sharedState.overrides());
        applyPeerProcessCount(sharedState.peerProcessCount());
        descriptorUsage =
                new DescriptorUsage(clientListener.connectionCount(), dispatcher.connectionCount());
        clientListener.setMaxConnections(descriptorLimits.maxClients(sharedState));
        dispatcher.setMaxConnections(descriptorLimits.maxUpstreamConnections(sharedState));
    }

    private void applyAdminDrains(Set<String> drainedIds) {
        if (!drainedIds.equals(adminDrains)) {
            Log.write(Event.ADMIN_DRAINS, drainedIds);
            adminDrains = drainedIds;
            dispatcher.onAdminDrains(drainedIds);
        }
    }

    private void applyOverrides(Set<String> activeOverrides) {
        if (!activeOverrides.equals(overrides)) {
            overrides = activeOverrides;
            Log.write(Event.OVERRIDES, overrides);
            membership.setOverrides(overrides);
        }
    }

    private void applyPeerProcessCount(int count) {
        if (count == peerProcessCount) {
            return;
        }
        boolean isPeerNew = count > peerProcessCount;
        Log.write(isPeerNew ? Event.PEER_PROCESS_SERVING : Event.PEER_PROCESS_ENDED, count);
        // During an upgrade the new process gossips for both, as it outlives the old process.
        membership.setGossipActive(!isPeerNew);
        peerProcessCount = count;
        memory.setPeerProcessCount(count);
        dispatcher.onSiblingProcesses(count);
    }

    /**
     * Drains a server or ends its drain, for all processes of this balancer.
     *
     * @return true once the change is stored, so that a process started after the response reads
     *     it; false for an unknown id
     */
    Future<Boolean> setAdminDrain(String id, boolean isDrained) {
        if (!dispatcher.isKnownServer(id) && !adminDrains.contains(id)) {
            return loop.newSucceededFuture(false);
        }
        Promise<Boolean> completion = loop.newPromise();
        sharedDirectory.setAdminDrain(
                id, isDrained, completeOnLoop(completion, this::applyAdminDrains));
        return completion;
    }

    /**
     * Sets or clears an override decision, for all processes of this balancer.
     *
     * @return true once the change is stored; false if this balancer does not detect staleness
     */
    Future<Boolean> setOverride(OverrideDecision decision) {
        if (!membership.detectsStaleness()) {
            return loop.newSucceededFuture(false);
        }
        Promise<Boolean> completion = loop.newPromise();
        sharedDirectory.setOverride(
                decision.word(),
                !decision.clearsAll(),
                completeOnLoop(completion, membership::setOverrides));
        return completion;
    }

    private Consumer<ChangeResult> completeOnLoop(
            Promise<Boolean> completion, Consumer<Set<String>> onSaved) {
        return result -> loop.execute(() -> complete(completion, result, onSaved));
    }

    private static void complete(
            Promise<Boolean> completion, ChangeResult result, Consumer<Set<String>> onSaved) {
        if (result instanceof ChangeResult.Saved saved) {
            onSaved.accept(saved.values());
            completion.setSuccess(true);
        } else if (result instanceof ChangeResult.Failed failed) {
            completion.setFailure(failed.cause());
        }
    }
}
