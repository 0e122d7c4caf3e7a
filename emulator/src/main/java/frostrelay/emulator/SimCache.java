package frostrelay.emulator;

import org.agrona.collections.Int2ObjectHashMap;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A cache: cores that serve in the order of arrival, a bounded queue, memory, misses to the origin,
 * a cold start.
 */
final class SimCache {
    /** How work at a cache ends. */
    enum End {
        SERVED,
        HIT,
        FETCHED,
        FAILED,
        BUSY,
        REFUSED,
        RESET
    }

    /** Work for a cache. */
    interface Job {
        int key();

        /** Nanoseconds of a core at full speed. */
        double work();

        boolean write();

        /** Whether nobody waits any more: waiting work is dropped then. */
        boolean dropped();

        /**
         * Whether who sent it has been told of the cache: it may think that another one is there.
         */
        boolean told();

        void ended(long now, End end);

        /** It took effect. */
        void ran(long now);
    }

    /** A job from its coming to its end. */
    private static final class Visit {
        final Job job;
        Visit before = this;
        Visit after = this;

        Visit(Job job) {
            this.job = job;
        }

        void add(Visit other) {
            other.before = before;
            other.after = this;
            before.after = other;
            before = other;
        }

        /** False if it had left before. */
        boolean leave() {
            boolean was = after != this;
            before.after = after;
            after.before = before;
            before = this;
            after = this;
            return was;
        }
    }

    /** Lives of a newcomer are none of those that the cache before it at the same address had. */
    private static final int NEWCOMER = 1 << 20;

    /** Numbers without a pattern, out of a counter. */
    private static final int GOLDEN = 0x9E3779B9;

    private final Plant.Cache spec;
    private final int place;
    private final int mostLinks;
    private final Timeline timeline;
    private final SimOrigin origin;

    /** How often each key was written, over all caches. */
    private final int[] versions;

    private final ColdGuard guard;
    private final Memory memory;
    private final Deque<Visit> waiting = new ArrayDeque<>();
    private final Int2ObjectHashMap<List<Visit>> fetching = new Int2ObjectHashMap<>();

    /** All that has come and not ended is linked behind this, in the order in which it came. */
    private final Visit open = new Visit(null);

    private int busy;
    private boolean down;
    private double slow = 1;
    private long startedAt = Long.MIN_VALUE / 2;

    /** Counts lives: what belongs to a former one ends in nothing. */
    private int life;

    private long hits;
    private long misses;
    private long worked;

    /** Takes what comes and answers nothing. */
    private boolean silent;

    /** The part of requests that fails for a cause of its own. */
    private double failing;

    private int links;
    private long wasted;
    private int failures;

    /** {@code mostLinks}: connections that it holds. */
    SimCache(
            Plant.Cache spec,
            int place,
            int mostLinks,
            Timeline timeline,
            SimOrigin origin,
            int[] versions,
            ColdGuard guard) {
        this.guard = guard;
        this.spec = spec;
        this.place = place;
        this.mostLinks = mostLinks;
        this.timeline = timeline;
        this.origin = origin;
        this.versions = versions;
        this.memory = new Memory(spec.memory(), spec.eviction());
    }

    /** Holds a key from the start. */
    void fill(int key) {
        memory.keep(key, 0);
    }

    void accept(long now, Job job) {
        if (silent) {
            return;
        }
        if (down) {
            job.ended(now, End.REFUSED);
            return;
        }
        if (now - startedAt < spec.warmWithin() && job.told()) {
            guard.arrived(now, speed(now) * slow);
        }
        Visit visit = new Visit(job);
        open.add(visit);
        if (busy < spec.cores()) {
            begin(now, visit);
        } else if (waiting.size() < spec.queue()) {
            waiting.add(visit);
        } else {
            end(now, visit, End.BUSY);
        }
    }

    private void end(long now, Visit visit, End end) {
        if (visit.leave() && !silent) {
            visit.job.ended(now, end);
        }
    }

    private double speed(long now) {
        long age = now - startedAt;
        double warm =
                age >= spec.warmWithin()
                        ? 1
                        : spec.coldFrom() + (1 - spec.coldFrom()) * age / spec.warmWithin();
        return warm / slow;
    }

    private void begin(long now, Visit visit) {
        busy++;
        int mine = life;
        // Crowding: each that waits slows the one in work, as context switches and lost cache lines
        // do.
        long time = (long) (visit.job.work() * (1 + spec.crowding() * waiting.size()) / speed(now));
        worked += time;
        timeline.at(
                now + time,
                then -> {
                    if (mine != life) {
                        return;
                    }
                    busy--;
                    worked(then, visit, time);
                    while (busy < spec.cores() && !waiting.isEmpty()) {
                        Visit next = waiting.poll();
                        if (next.job.dropped()) {
                            next.leave();
                        } else {
                            begin(then, next);
                        }
                    }
                });
    }

    private void worked(long now, Visit visit, long time) {
        Job job = visit.job;
        wasted += job.dropped() ? time : 0;
        if (failing > 0 && (++failures * GOLDEN >>> 1) < failing * Integer.MAX_VALUE) {
            end(now, visit, End.FAILED);
            return;
        }
        if (job.write()) {
            job.ran(now);
            versions[job.key()]++;
            call(now, good -> {}, List.of(visit));
            return;
        }
        if (memory.has(job.key(), versions[job.key()])) {
            hits++;
            end(now, visit, End.HIT);
            return;
        }
        misses++;
        List<Visit> others = spec.coalesce() ? fetching.get(job.key()) : null;
        if (others != null) {
            others.add(visit);
            return;
        }
        List<Visit> all = new ArrayList<>(1);
        all.add(visit);
        if (spec.coalesce()) {
            fetching.put(job.key(), all);
        }
        int version = versions[job.key()];
        call(
                now,
                good -> {
                    fetching.remove(job.key());
                    if (good) {
                        memory.keep(job.key(), version);
                    }
                },
                all);
    }

    private interface Fetched {
        void fetched(boolean good);
    }

    private void call(long now, Fetched then, List<Visit> visits) {
        int mine = life;
        origin.call(
                now,
                (at, good) -> {
                    if (mine == life) {
                        then.fetched(good);
                        visits.forEach(
                                visit ->
                                        end(
                                                at,
                                                visit,
                                                !good
                                                        ? End.FAILED
                                                        : visit.job.write()
                                                                ? End.SERVED
                                                                : End.FETCHED));
                    }
                });
    }

    /** The process dies with all it holds. */
    void kill(long now) {
        down = true;
        life++;
        links = 0;
        busy = 0;
        memory.clear();
        fetching.clear();
        waiting.clear();
        while (open.after != open) {
            end(now, open.after, End.RESET);
        }
    }

    /** It starts empty and cold. */
    void start(long now) {
        down = false;
        startedAt = now;
    }

    /** It comes in the place of another for the first time. */
    void comeIn(long now) {
        life += NEWCOMER;
        start(now);
    }

    /** Work takes so many times as long from now on. */
    void slow(double factor) {
        slow = factor;
    }

    /** Its machine is cut off: nothing comes in and nothing goes out, and nobody is told. */
    void silent(boolean on) {
        silent = on;
    }

    /** Fails this part of its requests from now on. */
    void failing(double part) {
        failing = part;
    }

    /**
     * Whether a new connection comes up: null while nothing answers, as from a machine that is cut
     * off.
     */
    Boolean link() {
        if (silent) {
            return null;
        }
        if (down || links >= mostLinks) {
            return false;
        }
        links++;
        return true;
    }

    /** A connection that came up in that life of it is closed. */
    void unlink(int since) {
        links -= since == life ? 1 : 0;
    }

    /** Counts lives: connections end with the process. */
    int life() {
        return life;
    }

    /** Where it is listed. */
    int place() {
        return place;
    }

    /** Connections that it holds. */
    int links() {
        return links;
    }

    /**
     * Nanoseconds of its cores' time that were given to work that nobody waited for when it was
     * done.
     */
    long wasted() {
        return wasted;
    }

    /** Nanoseconds of its cores' time that were given to work. */
    long worked() {
        return worked;
    }

    /** All that is kept goes void, as a release of new templates does. */
    void release() {
        memory.clear();
    }

    long hits() {
        return hits;
    }

    long misses() {
        return misses;
    }
}
