package frostrelay.emulator;

import frostrelay.policy.Api;

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
        void onList(long now, Api.ListMode mode, List<Api.Server> servers);
    }

    private static final long CALL = 5_000_000L;
    private static final double SECOND = 1e9;
    private static final long MIX = 0x9E3779B97F4A7C15L;

    private final Timeline timeline;
    private final Plant.Discovery spec;
    private final int zones;

    /** By place; null for a cache that is not there yet. */
    private final Api.Server[] servers;

    private final Set<Subscriber> subscribers = new LinkedHashSet<>();
    private boolean down;
    private double late = 1;
    private double shortage = 1;
    private long freeAt;
    private long lines;
    private long failed;

    /** {@code listed} of {@code places} are there from the start. */
    SimDiscovery(Timeline timeline, Plant.Discovery spec, int zones, int listed, int places) {
        this.timeline = timeline;
        this.spec = spec;
        this.zones = zones;
        servers = new Api.Server[places];
        for (int i = 0; i < listed; i++) {
            servers[i] = server(i, Api.State.READY, 0);
        }
    }

    /** The id of the cache at a place, spread over all numbers. */
    static long id(int place) {
        return (place + 1) * MIX;
    }

    private Api.Server server(int place, Api.State state, long startedAt) {
        return new Api.Server(id(place), place % zones, 0, 0, state, 1, startedAt);
    }

    /** What is listed now. */
    List<Api.Server> list() {
        return Arrays.stream(servers).filter(Objects::nonNull).toList();
    }

    /** A cache's state changes; it is told once the lateness has passed. */
    void change(long now, int place, Api.State state, long startedAt) {
        timeline.at(
                now + (long) (spec.lateness() * late),
                then -> tell(then, place, server(place, state, startedAt)));
    }

    /**
     * A cache is listed as gone, or again as it is, though nothing has happened to it: told at
     * once.
     */
    void slander(long now, int place, boolean on) {
        tell(now, place, server(place, on ? Api.State.GONE : Api.State.READY, 0));
    }

    private void tell(long now, int place, Api.Server fresh) {
        servers[place] = fresh;
        if (down) {
            return;
        }
        for (Subscriber one : List.copyOf(subscribers)) {
            lines++;
            one.onList(now, Api.ListMode.DELTA, List.of(fresh));
            // The watch goes on with another call, which waits in turn as all do.
            long turn = turn(now);
            if (turn < 0) {
                subscribers.remove(one);
                fail(now + spec.patience(), one);
            }
        }
    }

    /** When a call that comes now is through, -1 if it waits in vain. */
    private long turn(long now) {
        if (spec.calls() == 0) {
            return now + CALL;
        }
        long begin = Math.max(now, freeAt);
        if (begin - now > spec.patience()) {
            return -1;
        }
        freeAt = begin + (long) (SECOND * shortage / spec.calls());
        return freeAt + CALL;
    }

    void subscribe(long now, Subscriber subscriber) {
        long turn = turn(now);
        if (turn < 0) {
            fail(now + spec.patience(), subscriber);
            return;
        }
        timeline.at(
                turn,
                then -> {
                    if (down) {
                        failed++;
                        subscriber.onList(then, Api.ListMode.FAILED, List.of());
                    } else {
                        subscribers.add(subscriber);
                        List<Api.Server> all = list();
                        lines += all.size();
                        subscriber.onList(then, Api.ListMode.FULL, all);
                    }
                });
    }

    private void fail(long at, Subscriber subscriber) {
        failed++;
        timeline.at(at, then -> subscriber.onList(then, Api.ListMode.FAILED, List.of()));
    }

    void forget(Subscriber subscriber) {
        subscribers.remove(subscriber);
    }

    /** Out of reach: watches end and calls fail. */
    void outage(long now, boolean on) {
        down = on;
        if (on) {
            List<Subscriber> all = List.copyOf(subscribers);
            subscribers.clear();
            all.forEach(one -> one.onList(now, Api.ListMode.FAILED, List.of()));
        }
    }

    /** Changes are told so many times as late from now on. */
    void late(double factor) {
        late = factor;
    }

    /** Calls take so many times as long from now on. */
    void shortOfRoom(double factor) {
        shortage = factor;
    }

    /** Entries told so far, over all balancers. */
    long lines() {
        return lines;
    }

    /** Calls that failed. */
    long failed() {
        return failed;
    }
}
