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
 * Discovery: tells subscribers of changes, late, and at times not at all. One service for all
 * balancers that works through calls in turn; each answer to a watch is followed by its next call.
 * Stands outside of all zones.
 */
final class SimDiscovery {
    /** Hears lists. */
    interface Subscriber {
        void onList(long now, EndpointUpdateMode mode, List<Server> servers);
    }

    private static final long CALL_NANOS = 5_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long ID_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final Timeline timeline;
    private final SystemModel.Discovery spec;
    private final int zoneCount;

    /** By place; null for a cache that is not there yet. */
    private final Server[] servers;

    private final Set<Subscriber> subscribers = new LinkedHashSet<>();
    private boolean isDown;
    private double delayFactor = 1;
    private double callCostFactor = 1;
    private long freeAtNanos;
    private long entriesSent;
    private long failedCalls;

    /** {@code listedCount} of {@code slotCount} are there from the start. */
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

    /** The id of the cache at a place, spread over all numbers. */
    static long serverId(int index) {
        return (index + 1) * ID_MULTIPLIER;
    }

    private Server server(int index, EndpointState state, long startedAtNanos) {
        return new Server(serverId(index), index % zoneCount, 0, 0, state, 1, startedAtNanos);
    }

    /** What is listed now. */
    List<Server> currentServers() {
        return Arrays.stream(servers).filter(Objects::nonNull).toList();
    }

    /** A cache's state changes; it is told once the lateness has passed. */
    void scheduleUpdate(long now, int index, EndpointState state, long startedAtNanos) {
        timeline.schedule(
                now + (long) (spec.delayNanos() * delayFactor),
                then -> publish(then, index, server(index, state, startedAtNanos)));
    }

    /**
     * A cache is listed as gone, or again as it is, though nothing has happened to it: told at
     * once.
     */
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
            // The watch goes on with another call, which waits in turn as all do.
            long completedAtNanos = reserveCall(now);
            if (completedAtNanos < 0) {
                subscribers.remove(subscriber);
                scheduleFailure(now + spec.callTimeoutNanos(), subscriber);
            }
        }
    }

    /** When a call that comes now is through, -1 if it waits in vain. */
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

    /** Out of reach: watches end and calls fail. */
    void setOutage(long now, boolean isOutage) {
        isDown = isOutage;
        if (isOutage) {
            List<Subscriber> all = List.copyOf(subscribers);
            subscribers.clear();
            all.forEach(subscriber -> subscriber.onList(now, EndpointUpdateMode.FAILED, List.of()));
        }
    }

    /** Changes are told so many times as late from now on. */
    void setDelayFactor(double factor) {
        delayFactor = factor;
    }

    /** Calls take so many times as long from now on. */
    void setCallCostFactor(double factor) {
        callCostFactor = factor;
    }

    /** Entries told so far, over all balancers. */
    long entriesSent() {
        return entriesSent;
    }

    /** Calls that failed. */
    long failedCalls() {
        return failedCalls;
    }
}
