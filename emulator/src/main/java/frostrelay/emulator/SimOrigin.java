package frostrelay.emulator;

import org.apache.commons.rng.UniformRandomProvider;

import java.util.ArrayDeque;
import java.util.Deque;

/** The one origin behind all caches: some places, a queue, and a fall when it is overdriven. */
final class SimOrigin {
    /** Hears how a call ended: true if it was carried out. */
    interface Done {
        void done(long now, boolean good);
    }

    private static final long SECOND = 1_000_000_000L;

    private final Plant.Origin spec;
    private final Timeline timeline;
    private final UniformRandomProvider random;
    private final Deque<Done> waiting = new ArrayDeque<>();
    private int busy;
    private double slow = 1;
    private long freeUntil;
    private long downUntil;
    private long windowAt;
    private int windowCount;
    private long calls;
    private long falls;

    SimOrigin(Plant.Origin spec, Timeline timeline, long seed) {
        this.spec = spec;
        this.timeline = timeline;
        this.random = Randoms.of(seed, "origin");
    }

    /** Until then every call is carried out at once. */
    void freeUntil(long moment) {
        freeUntil = moment;
    }

    void call(long now, Done done) {
        if (now < freeUntil) {
            done.done(now, true);
            return;
        }
        calls++;
        if (now - windowAt >= SECOND) {
            windowAt = now;
            windowCount = 0;
        }
        if (++windowCount > spec.fallMultiple() * spec.places() * SECOND / spec.time()
                && spec.fallMultiple() > 0
                && now >= downUntil) {
            falls++;
            stop(now, spec.fallTime());
        }
        if (now < downUntil) {
            done.done(now, false);
        } else if (busy < spec.places()) {
            begin(now, done);
        } else if (waiting.size() < spec.queue()) {
            waiting.add(done);
        } else {
            done.done(now, false);
        }
    }

    private void begin(long now, Done done) {
        busy++;
        // Half of a fetch is the same for all, the other half varies.
        double part = 0.5 - 0.5 * Math.log(1 - random.nextDouble());
        timeline.at(
                now + (long) (spec.time() * part * slow),
                then -> {
                    busy--;
                    done.done(then, then >= downUntil);
                    while (busy < spec.places() && !waiting.isEmpty()) {
                        begin(then, waiting.poll());
                    }
                });
    }

    /** It carries nothing out for so long. */
    void stop(long now, long time) {
        downUntil = Math.max(downUntil, now + time);
        Deque<Done> lost = new ArrayDeque<>(waiting);
        waiting.clear();
        lost.forEach(done -> done.done(now, false));
    }

    /** Fetches take so many times as long from now on. */
    void slow(double factor) {
        slow = factor;
    }

    long calls() {
        return calls;
    }

    long falls() {
        return falls;
    }
}
