package frostrelay.lab;

import frostrelay.emulator.Emulation;
import frostrelay.emulator.Plant;
import frostrelay.emulator.Plant.Fault;
import frostrelay.emulator.Plant.Kind;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Searches for faults after which a plant misses a goal: at random first, then by small changes to
 * the worst that were found, and last each is made as small as it can be while the goal is still
 * missed (Zeller and Hildebrandt 2002 for the idea). Finds the same for the same seed, however many
 * threads. Threading: one caller.
 */
public final class Hunt {
    private static final double FIRST = 0.22;
    private static final double LAST = 0.4;
    private static final double LONGEST = 0.12;
    private static final int MOST_FAULTS = 3;
    private static final int PARENTS = 8;
    private static final long TICK = 100_000_000L;
    private static final double LEAST_PART = 0.05;

    /**
     * What was found. {@code missedBy}: on the mean over the seeds; {@code value}: of the worst of
     * them, {@code seed}; {@code tried}: days played until then.
     */
    public record Found(List<Fault> faults, double missedBy, double value, long seed, int tried) {}

    private final Plant base;
    private final Goal goal;
    private final int seeds;
    private final ExecutorService pool;
    private final UniformRandomProvider random;
    private final Consumer<String> told;
    private int tried;

    private record Candidate(List<Fault> faults, double missedBy, double value, long seed) {
        /** Which kinds it has: two candidates of the same kinds are one finding. */
        String kinds() {
            return faults.stream()
                    .map(fault -> fault.kind().name())
                    .sorted()
                    .distinct()
                    .collect(Collectors.joining("+"));
        }
    }

    private Hunt(
            Plant base,
            Goal goal,
            int seeds,
            long seed,
            ExecutorService pool,
            Consumer<String> told) {
        this.base = base;
        this.goal = goal;
        this.seeds = seeds;
        this.pool = pool;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.told = told;
    }

    /**
     * Hunts with so many random tries, a quarter as many small changes, and keeps the worst of
     * different kinds. Faults of the plant itself are left out. Throws {@link
     * IllegalArgumentException} if the plant misses the goal without any.
     */
    public static List<Found> run(
            Plant plant,
            Goal goal,
            int tries,
            int keep,
            int seeds,
            long seed,
            int threads,
            Consumer<String> told)
            throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            return new Hunt(plant.with(List.of()), goal, seeds, seed, pool, told).run(tries, keep);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a day could not be played", e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private List<Found> run(int tries, int keep) throws InterruptedException, ExecutionException {
        Candidate quiet = play(List.of(List.of())).get(0);
        if (quiet.missedBy > 0) {
            throw new IllegalArgumentException(
                    "without any fault the plant misses the goal "
                            + goal
                            + " already: "
                            + quiet.value);
        }
        List<List<Fault>> first = new ArrayList<>();
        for (int i = 0; i < tries; i++) {
            first.add(drawn());
        }
        List<Candidate> known = new ArrayList<>(play(first));
        told.accept(failing(known) + " of " + tries + " random days miss the goal");
        for (int round = 0; round < 3; round++) {
            List<List<Fault>> next = new ArrayList<>();
            for (Candidate parent : worst(known).stream().limit(PARENTS).toList()) {
                for (int i = 0; i < Math.max(1, tries / 12 / PARENTS); i++) {
                    next.add(changed(parent.faults));
                }
            }
            known.addAll(play(next));
        }
        told.accept("after small changes to the worst: " + failing(known) + " of " + known.size());
        Map<String, Found> found = new LinkedHashMap<>();
        for (Candidate candidate : worst(known)) {
            if (candidate.missedBy <= 0 || found.size() >= keep) {
                break;
            }
            Candidate small = shrink(candidate);
            if (!found.containsKey(small.kinds())) {
                found.put(
                        small.kinds(),
                        new Found(small.faults, small.missedBy, small.value, small.seed, tried));
                told.accept("found: " + String.join("; ", FaultWords.of(small.faults)));
            }
        }
        return List.copyOf(found.values());
    }

    private static long failing(List<Candidate> all) {
        return all.stream().filter(one -> one.missedBy > 0).count();
    }

    /**
     * The worst first; of the same kinds only the worst, so that one weakness does not hide the
     * others.
     */
    private static List<Candidate> worst(List<Candidate> all) {
        Map<String, Candidate> byKinds = new LinkedHashMap<>();
        all.stream()
                .sorted(Comparator.comparingDouble((Candidate one) -> one.missedBy).reversed())
                .forEach(one -> byKinds.putIfAbsent(one.kinds(), one));
        return List.copyOf(byKinds.values());
    }

    private List<Candidate> play(List<List<Fault>> all)
            throws InterruptedException, ExecutionException {
        List<Future<Map<String, Double>>> days = new ArrayList<>();
        for (List<Fault> faults : all) {
            for (int i = 0; i < seeds; i++) {
                Plant day = base.with(faults).seeded(base.seed() + i);
                days.add(pool.submit(() -> Metrics.of(day, Emulation.play(day))));
            }
        }
        List<Candidate> played = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            double missed = 0;
            double worst = Double.NEGATIVE_INFINITY;
            double value = 0;
            long seed = base.seed();
            for (int j = 0; j < seeds; j++) {
                Map<String, Double> metrics = days.get(i * seeds + j).get();
                double by = goal.missedBy(metrics);
                missed += by / seeds;
                if (by > worst) {
                    worst = by;
                    value = metrics.getOrDefault(goal.metric(), goal.bound());
                    seed = base.seed() + j;
                }
            }
            played.add(new Candidate(all.get(i), missed, value, seed));
        }
        tried += days.size();
        return played;
    }

    private List<Fault> drawn() {
        List<Fault> faults = new ArrayList<>();
        for (int i = random.nextInt(MOST_FAULTS); i >= 0; i--) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            faults.add(
                    fault(
                            base.length() * (FIRST + (LAST - FIRST) * random.nextDouble()),
                            base.length() * LONGEST * random.nextDouble(),
                            kind,
                            random.nextDouble(),
                            1.5 + 4.5 * random.nextDouble()));
        }
        return faults;
    }

    /** Within what is asked of a plant, in steps that people can read. */
    private static Fault fault(double at, double length, Kind kind, double part, double factor) {
        long whole = Math.max(TICK, (long) (length / TICK) * TICK);
        return new Fault(
                (long) (at / TICK) * TICK,
                kind == Kind.COPIES_RELEASED ? 0 : whole,
                kind,
                Math.rint(Math.max(LEAST_PART, Math.min(1, part)) * 100) / 100,
                Math.rint(Math.max(1, Math.min(8, factor)) * 10) / 10);
    }

    private List<Fault> changed(List<Fault> faults) {
        List<Fault> fresh = new ArrayList<>(faults);
        int place = random.nextInt(fresh.size());
        Fault old = fresh.get(place);
        if (fresh.size() < MOST_FAULTS && random.nextInt(4) == 0) {
            fresh.add(drawn().get(0));
        } else {
            fresh.set(
                    place,
                    fault(
                            Math.max(
                                    base.length() * FIRST,
                                    Math.min(
                                            base.length() * LAST,
                                            old.at()
                                                    + base.length()
                                                            * 0.05
                                                            * (random.nextDouble() - 0.5))),
                            Math.min(
                                    base.length() * LONGEST,
                                    old.length() * (0.6 + random.nextDouble())),
                            old.kind(),
                            old.part() * (0.6 + random.nextDouble()),
                            old.factor() * (0.6 + random.nextDouble())));
        }
        return fresh;
    }

    /** Takes away whole faults first, then makes each milder, as long as the goal is missed. */
    private Candidate shrink(Candidate from) throws InterruptedException, ExecutionException {
        Candidate best = from;
        boolean smaller = true;
        while (smaller) {
            smaller = false;
            for (Candidate one : play(milder(best.faults))) {
                if (one.missedBy > 0) {
                    best = one;
                    smaller = true;
                    break;
                }
            }
        }
        return best;
    }

    private static List<List<Fault>> milder(List<Fault> faults) {
        List<List<Fault>> all = new ArrayList<>();
        for (int i = 0; i < faults.size() && faults.size() > 1; i++) {
            List<Fault> fewer = new ArrayList<>(faults);
            fewer.remove(i);
            all.add(fewer);
        }
        for (int i = 0; i < faults.size(); i++) {
            Fault old = faults.get(i);
            for (Fault mild :
                    List.of(
                            fault(
                                    old.at(),
                                    old.length() / 2.0,
                                    old.kind(),
                                    old.part(),
                                    old.factor()),
                            fault(old.at(), old.length(), old.kind(), old.part() / 2, old.factor()),
                            fault(
                                    old.at(),
                                    old.length(),
                                    old.kind(),
                                    old.part(),
                                    1 + (old.factor() - 1) / 2))) {
                if (!mild.equals(old)) {
                    List<Fault> one = new ArrayList<>(faults);
                    one.set(i, mild);
                    all.add(one);
                }
            }
        }
        return all;
    }
}
