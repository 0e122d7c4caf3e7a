package frostrelay.emulator;

import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.Server;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * The simulated discovery service, which notifies subscribers of changes with a delay and can fail.
 * One instance serves all balancers and processes calls in sequence; each watch response is
 * followed by the next watch call. It belongs to no zone.
 */
final class SimDiscovery {
    /** Receives endpoint lists. */
    interface Subscriber {
        void onList(long now, EndpointUpdateMode mode, List<Server> servers);
    }

    private static final long CALL_NANOS = 5_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long ID_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final Timeline timeline;
    private final SystemModel.Discovery spec;
    private final int zoneCount;

    /** Servers by cache index; null for a cache that has not started yet. */
    private final Server[] servers;

    private final Set<Subscriber> subscribers = new LinkedHashSet<>();
    private boolean isDown;
    private double delayFactor = 1;
    private double callCostFactor = 1;
    private long freeAtNanos;
    private long entriesSent;
    private long failedCalls;

    /** Lists the first {@code listedCount} of {@code slotCount} caches from the start. */
    SimDiscovery(
            Timeline timeline,
            SystemModel.Discovery spec,
            int zoneCount,
            int listedCount,
            int slotCount) {
        this.timeline = timeline;
        this.spec = spec;
        this.zoneCount = zoneCount;
        servers = new Server[slotCount];
        for (int i = 0; i < listedCount; i++) {
            servers[i] = server(i, EndpointState.READY, 0);
        }
    }

    /** Returns the server id of a cache index; ids are spread over all values. */
    static long serverId(int index) {
        return (index + 1) * ID_MULTIPLIER;
    }

    private Server server(int index, EndpointState state, long startedAtNanos) {
        return new Server(serverId(index), index % zoneCount, 0, 0, state, 1, startedAtNanos);
    }

    /** Returns the current endpoint list. */
    List<Server> currentServers() {
        return Arrays.stream(servers).filter(Objects::nonNull).toList();
    }

    /** Publishes a change of a cache's state after the notification delay. */
    void scheduleUpdate(long now, int index, EndpointState state, long startedAtNanos) {
        timeline.schedule(
                now + (long) (spec.delayNanos() * delayFactor),
                then -> publish(then, index, server(index, state, startedAtNanos)));
    }

    /** Lists a healthy cache as removed, or as ready again. Published without delay. */
    void setFalselyRemoved(long now, int index, boolean isRemoved) {
        publish(
                now,
                index,
                server(index, isRemoved ? EndpointState.REMOVED : EndpointState.READY, 0));
    }

    private void publish(long now, int index, Server update) {
        servers[index] = update;
        if (isDown) {
            return;
        }
        for (Subscriber subscriber : List.copyOf(subscribers)) {
            entriesSent++;
            subscriber.onList(now, EndpointUpdateMode.DELTA, List.of(update));
            // The watch continues with another call, which queues like all others.
            long completedAtNanos = reserveCall(now);
            if (completedAtNanos < 0) {
                subscribers.remove(subscriber);
                scheduleFailure(now + spec.callTimeoutNanos(), subscriber);
            }
        }
    }

    /** Queues a call and returns its completion time, or -1 if it would time out first. */
    private long reserveCall(long now) {
        if (spec.callsPerSecond() == 0) {
            return now + CALL_NANOS;
        }
        long startNanos = Math.max(now, freeAtNanos);
        if (startNanos - now > spec.callTimeoutNanos()) {
            return -1;
        }
        freeAtNanos =
                startNanos + (long) (NANOS_PER_SECOND * callCostFactor / spec.callsPerSecond());
        return freeAtNanos + CALL_NANOS;
    }

    void subscribe(long now, Subscriber subscriber) {
        long completedAtNanos = reserveCall(now);
        if (completedAtNanos < 0) {
            scheduleFailure(now + spec.callTimeoutNanos(), subscriber);
            return;
        }
        timeline.schedule(
                completedAtNanos,
                then -> {
                    if (isDown) {
                        failedCalls++;
                        subscriber.onList(then, EndpointUpdateMode.FAILED, List.of());
                    } else {
                        subscribers.add(subscriber);
                        List<Server> all = currentServers();
                        entriesSent += all.size();
                        subscriber.onList(then, EndpointUpdateMode.FULL, all);
                    }
                });
    }

    private void scheduleFailure(long at, Subscriber subscriber) {
        failedCalls++;
        timeline.schedule(
                at, then -> subscriber.onList(then, EndpointUpdateMode.FAILED, List.of()));
    }

    void unsubscribe(Subscriber subscriber) {
        subscribers.remove(subscriber);
    }

    /** Starts or ends an outage, in which watches end and calls fail. */
    void setOutage(long now, boolean isOutage) {
        isDown = isOutage;
        if (isOutage) {
            List<Subscriber> all = List.copyOf(subscribers);
            subscribers.clear();
            all.forEach(subscriber -> subscriber.onList(now, EndpointUpdateMode.FAILED, List.of()));
        }
    }

    /** Multiplies the notification delay. */
    void setDelayFactor(double factor) {
        delayFactor = factor;
    }

    /** Multiplies the processing time of a call. */
    void setCallCostFactor(double factor) {
        callCostFactor = factor;
    }

    /** Returns the number of list entries sent to all balancers. */
    long entriesSent() {
        return entriesSent;
    }

    /** Returns the number of failed calls. */
    long failedCalls() {
        return failedCalls;
    }
}
