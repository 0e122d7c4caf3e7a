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

/** The model's parts against what is known of them in closed form. */
class TheoryTest {
    private static final double WORK = 1e6;

    /** What a cache made of a stream of jobs: mean wait in units of work, and the share of hits. */
    private record Made(double waited, double hits) {}

    private static Made serve(
            int cores, double load, boolean fixed, int memory, int keys, double zipf, int jobs) {
        Timeline timeline = new Timeline();
        UniformRandomProvider random = Randoms.of(7, "theory");
        ZigguratSampler.Exponential draws = ZigguratSampler.Exponential.of(random);
        SharedStateDiscreteSampler popular = RejectionInversionZipfSampler.of(random, keys, zipf);
        SimOrigin origin = new SimOrigin(new Plant.Origin(1_000_000, 1, 0, 0, 0), timeline, 1);
        SimCache cache =
                new SimCache(
                        new Plant.Cache(
                                cores,
                                Integer.MAX_VALUE,
                                0,
                                memory,
                                Plant.Eviction.LRU,
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
            cache.fill(0);
        }
        double[] waited = new double[1];
        double at = 0;
        for (int i = 0; i < jobs; i++) {
            at += draws.sample() * WORK / (load * cores);
            long arrival = (long) at;
            double work = fixed ? WORK : draws.sample() * WORK;
            int key = popular.sample() - 1;
            timeline.run(arrival);
            cache.accept(
                    arrival,
                    new SimCache.Job() {
                        @Override
                        public int key() {
                            return key;
                        }

                        @Override
                        public double work() {
                            return work;
                        }

                        @Override
                        public boolean write() {
                            return false;
                        }

                        @Override
                        public boolean told() {
                            return true;
                        }

                        @Override
                        public boolean dropped() {
                            return false;
                        }

                        @Override
                        public void ended(long now, SimCache.End end) {
                            waited[0] += now - arrival - work;
                        }

                        @Override
                        public void ran(long now) {
                            throw new AssertionError("a read has no effect");
                        }
                    });
        }
        timeline.run(Long.MAX_VALUE / 2);
        return new Made(
                waited[0] / jobs / WORK, cache.hits() / (double) (cache.hits() + cache.misses()));
    }

    /** Erlang's C: the chance to wait in M/M/c. */
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
    void waitsAreThoseOfMMc() {
        for (int cores : new int[] {1, 4, 16}) {
            double load = 0.8;
            double theory = erlangC(cores, load) / (cores * (1 - load));
            double wait = serve(cores, load, false, 1, 1, 1, 400_000).waited;
            assertEquals(1, wait / theory, 0.06, cores + " cores: " + wait + ", theory " + theory);
        }
    }

    /** Pollaczek and Khinchine: with fixed work one waits half as long as with exponential work. */
    @Example
    void waitsAreThoseOfMD1() {
        double load = 0.7;
        double theory = load / (2 * (1 - load));
        double wait = serve(1, load, true, 1, 1, 1, 400_000).waited;
        assertEquals(1, wait / theory, 0.04, "wait " + wait + ", theory " + theory);
    }

    /**
     * Che, Tung and Wang (2002): an LRU cache keeps what was asked for within one time that is the
     * same for all keys.
     */
    @Example
    void hitsAreThoseOfChesApproximation() {
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
            // So many jobs that the empty start weighs less than the bound.
            double hits = serve(1, 0.3, true, memory, keys, zipf, 600_000).hits;
            assertEquals(theory, hits, 0.01, "memory " + memory);
        }
    }

    /**
     * Whatever is added, and while time goes on, it happens in order, and what is equal in the
     * order of adding.
     */
    /**
     * Within a slot of the wheel, over many, more than once round, and past it; moved on in steps
     * that end anywhere.
     */
    @Property(tries = 300, seed = "20261201")
    void thingsHappenInOrder(
            @ForAll @Size(max = 200) List<@LongRange(min = 0, max = 50) Long> times,
            @ForAll @LongRange(min = 0, max = 3) long scale,
            @ForAll @LongRange(min = 1, max = 60) long step) {
        long unit = new long[] {1, 40_000, 300_000_000, 7_000_000_000L}[(int) scale];
        Timeline timeline = new Timeline();
        List<long[]> happened = new ArrayList<>();
        for (int i = 0; i < times.size(); i++) {
            int number = i;
            timeline.at(
                    times.get(i) * unit,
                    now -> {
                        happened.add(new long[] {now, number});
                        if (number % 3 == 0) {
                            timeline.at(
                                    now + 7 * unit,
                                    then -> happened.add(new long[] {then, 1_000 + number}));
                        }
                    });
        }
        // Some are taken back, twice, and their places used again: the others must not notice.
        for (int i = 0; i < times.size(); i++) {
            long mark = timeline.at(times.get(i) * unit, now -> {});
            timeline.cancel(mark);
            timeline.cancel(mark);
        }
        for (long until = 0; until < 60 * unit; until += step * unit - unit / 3) {
            timeline.run(until);
            long reached = until;
            assertTrue(happened.stream().allMatch(one -> one[0] <= reached));
        }
        timeline.run(60 * unit);
        assertEquals(times.size() + (times.size() + 2) / 3, happened.size());
        assertEquals(0, timeline.open());
        for (int i = 1; i < happened.size(); i++) {
            long[] one = happened.get(i - 1);
            long[] next = happened.get(i);
            boolean first = one[1] < 1_000 && next[1] < 1_000;
            assertTrue(one[0] < next[0] || one[0] == next[0] && (!first || one[1] < next[1]));
        }
    }

    /**
     * Against the library's map: who goes first is the same by use and by age, through writes and
     * releases.
     */
    @Property(tries = 200, seed = "20261201")
    void aCacheKeepsWhatALinkedMapWould(
            @ForAll @Size(max = 300) List<@LongRange(min = 0, max = 400) Long> steps,
            @ForAll boolean byUse,
            @ForAll @LongRange(min = 1, max = 90) long most) {
        Memory memory = new Memory((int) most, byUse ? Plant.Eviction.LRU : Plant.Eviction.FIFO);
        Map<Integer, Integer> model = new LinkedHashMap<>(16, 0.75f, byUse);
        for (long step : steps) {
            int key = (int) (step % 100);
            int version = (int) (step % 3);
            if (step == 400) {
                memory.clear();
                model.clear();
            } else if (step < 200) {
                memory.keep(key, version);
                model.put(key, version);
                if (model.size() > most) {
                    model.remove(model.keySet().iterator().next());
                }
            } else {
                Integer kept = model.get(key);
                assertEquals(kept != null && kept == version, memory.has(key, version));
            }
        }
        for (Map.Entry<Integer, Integer> one : new LinkedHashMap<>(model).entrySet()) {
            assertTrue(memory.has(one.getKey(), one.getValue()));
        }
    }
}
