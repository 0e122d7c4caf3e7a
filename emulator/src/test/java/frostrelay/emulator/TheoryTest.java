package frostrelay.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Tests of model components against closed-form results of queueing and caching theory. */
class TheoryTest {
    private static final double WORK_NANOS = 1e6;

    /**
     * The results of a cache for a stream of jobs: mean wait in units of mean work, and hit ratio.
     */
    private record Measurement(double meanWait, double hitRatio) {}

    private static Measurement serve(
            int cores, double load, boolean fixed, int memory, int keys, double zipf, int jobs) {
        Timeline timeline = new Timeline();
        UniformRandomProvider random = RandomStreams.create(7, "theory");
        ZigguratSampler.Exponential exponentialSampler = ZigguratSampler.Exponential.of(random);
        SharedStateDiscreteSampler keySampler =
                RejectionInversionZipfSampler.of(random, keys, zipf);
        SimOrigin origin =
                new SimOrigin(new SystemModel.Origin(1_000_000, 1, 0, 0, 0), timeline, 1);
        SimCache cache =
                new SimCache(
                        new SystemModel.Cache(
                                cores,
                                Integer.MAX_VALUE,
                                0,
                                memory,
                                SystemModel.Eviction.LRU,
                                1,
                                0,
                                false,
                                false),
                        0,
                        Integer.MAX_VALUE,
                        timeline,
                        origin,
                        new int[keys],
                        null);
        if (keys == 1) {
            cache.preload(0);
        }
        double[] totalWaitNanos = new double[1];
        double at = 0;
        for (int i = 0; i < jobs; i++) {
            at += exponentialSampler.sample() * WORK_NANOS / (load * cores);
            long arrival = (long) at;
            double work = fixed ? WORK_NANOS : exponentialSampler.sample() * WORK_NANOS;
            int key = keySampler.sample() - 1;
            timeline.runUntil(arrival);
            cache.accept(
                    arrival,
                    new SimCache.Job() {
                        @Override
                        public int key() {
                            return key;
                        }

                        @Override
                        public double workNanos() {
                            return work;
                        }

                        @Override
                        public boolean isWrite() {
                            return false;
                        }

                        @Override
                        public boolean isIntendedCache() {
                            return true;
                        }

                        @Override
                        public boolean isCancelled() {
                            return false;
                        }

                        @Override
                        public void onCompleted(long now, SimCache.Outcome end) {
                            totalWaitNanos[0] += now - arrival - work;
                        }

                        @Override
                        public void onExecuted(long now) {
                            throw new AssertionError("a read must not be reported as executed");
                        }
                    });
        }
        timeline.runUntil(Long.MAX_VALUE / 2);
        return new Measurement(
                totalWaitNanos[0] / jobs / WORK_NANOS,
                cache.hits() / (double) (cache.hits() + cache.misses()));
    }

    /** Returns the probability of waiting in an M/M/c queue (Erlang C). */
    private static double erlangC(int cores, double load) {
        double offered = cores * load;
        double term = 1;
        double sum = 1;
        for (int i = 1; i < cores; i++) {
            term *= offered / i;
            sum += term;
        }
        term *= offered / cores / (1 - load);
        return term / (sum + term);
    }

    @Example
    void meanWaitMatchesMMc() {
        for (int cores : new int[] {1, 4, 16}) {
            double load = 0.8;
            double theory = erlangC(cores, load) / (cores * (1 - load));
            double wait = serve(cores, load, false, 1, 1, 1, 400_000).meanWait;
            assertEquals(1, wait / theory, 0.06, cores + " cores: " + wait + ", theory " + theory);
        }
    }

    /**
     * With fixed work the mean wait is half of that with exponential work (Pollaczek-Khinchine
     * formula).
     */
    @Example
    void meanWaitMatchesMD1() {
        double load = 0.7;
        double theory = load / (2 * (1 - load));
        double wait = serve(1, load, true, 1, 1, 1, 400_000).meanWait;
        assertEquals(1, wait / theory, 0.04, "wait " + wait + ", theory " + theory);
    }

    /**
     * An LRU cache holds the objects requested within a characteristic time that is the same for
     * all keys (Che, Tung and Wang 2002).
     */
    @Example
    void hitRatioMatchesChesApproximation() {
        int keys = 5_000;
        for (int memory : new int[] {50, 500, 2_000}) {
            double zipf = 0.9;
            double[] chance = new double[keys];
            double norm = 0;
            for (int i = 0; i < keys; i++) {
                chance[i] = Math.pow(i + 1, -zipf);
                norm += chance[i];
            }
            double low = 0;
            double high = 1e9;
            for (int i = 0; i < 200; i++) {
                double time = (low + high) / 2;
                double kept = 0;
                for (double one : chance) {
                    kept += 1 - Math.exp(-one / norm * time);
                }
                low = kept < memory ? time : low;
                high = kept < memory ? high : time;
            }
            double theory = 0;
            for (double one : chance) {
                theory += one / norm * (1 - Math.exp(-one / norm * low));
            }
            // Enough jobs for the misses of the empty start to be within the tolerance.
            double hits = serve(1, 0.3, true, memory, keys, zipf, 600_000).hitRatio;
            assertEquals(theory, hits, 0.01, "memory " + memory);
        }
    }

    /**
     * Events run in time order, and simultaneous ones in insertion order, also if scheduled while
     * time advances. The times lie within one slot, over many slots, over several turns of the
     * wheel and beyond it; the steps end at arbitrary times.
     */
    @Property(tries = 300, seed = "20261201")
    void eventsRunInOrder(
            @ForAll @Size(max = 200) List<@LongRange(min = 0, max = 50) Long> times,
            @ForAll @LongRange(min = 0, max = 3) long scale,
            @ForAll @LongRange(min = 1, max = 60) long step) {
        long unit = new long[] {1, 40_000, 300_000_000, 7_000_000_000L}[(int) scale];
        Timeline timeline = new Timeline();
        List<long[]> executed = new ArrayList<>();
        for (int i = 0; i < times.size(); i++) {
            int number = i;
            timeline.schedule(
                    times.get(i) * unit,
                    now -> {
                        executed.add(new long[] {now, number});
                        if (number % 3 == 0) {
                            timeline.schedule(
                                    now + 7 * unit,
                                    then -> executed.add(new long[] {then, 1_000 + number}));
                        }
                    });
        }
        // Some timers are cancelled, twice, and their nodes reused, which must not affect other
        // events.
        for (int i = 0; i < times.size(); i++) {
            long timer = timeline.schedule(times.get(i) * unit, now -> {});
            timeline.cancel(timer);
            timeline.cancel(timer);
        }
        for (long until = 0; until < 60 * unit; until += step * unit - unit / 3) {
            timeline.runUntil(until);
            long reached = until;
            assertTrue(executed.stream().allMatch(one -> one[0] <= reached));
        }
        timeline.runUntil(60 * unit);
        assertEquals(times.size() + (times.size() + 2) / 3, executed.size());
        assertEquals(0, timeline.pendingEvents());
        for (int i = 1; i < executed.size(); i++) {
            long[] one = executed.get(i - 1);
            long[] next = executed.get(i);
            boolean first = one[1] < 1_000 && next[1] < 1_000;
            assertTrue(one[0] < next[0] || one[0] == next[0] && (!first || one[1] < next[1]));
        }
    }

    /** Compares LRU and FIFO eviction with {@link LinkedHashMap}, through writes and releases. */
    @Property(tries = 200, seed = "20261201")
    void evictionMatchesALinkedHashMap(
            @ForAll @Size(max = 300) List<@LongRange(min = 0, max = 400) Long> steps,
            @ForAll boolean isLru,
            @ForAll @LongRange(min = 1, max = 90) long maxEntries) {
        SimCacheMemory memory =
                new SimCacheMemory(
                        (int) maxEntries,
                        isLru ? SystemModel.Eviction.LRU : SystemModel.Eviction.FIFO);
        Map<Integer, Integer> model = new LinkedHashMap<>(16, 0.75f, isLru);
        for (long step : steps) {
            int key = (int) (step % 100);
            int version = (int) (step % 3);
            if (step == 400) {
                memory.clear();
                model.clear();
            } else if (step < 200) {
                memory.put(key, version);
                model.put(key, version);
                if (model.size() > maxEntries) {
                    model.remove(model.keySet().iterator().next());
                }
            } else {
                Integer cachedVersion = model.get(key);
                assertEquals(
                        cachedVersion != null && cachedVersion == version,
                        memory.contains(key, version));
            }
        }
        for (Map.Entry<Integer, Integer> one : new LinkedHashMap<>(model).entrySet()) {
            assertTrue(memory.contains(one.getKey(), one.getValue()));
        }
    }
}
