package frostrelay.experiment;

import frostrelay.emulator.Emulation;
import frostrelay.emulator.SystemModel;
import frostrelay.emulator.SystemModel.Fault;
import frostrelay.emulator.SystemModel.FaultKind;

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
 * A search for faults after which a system model misses a goal. It evaluates random faults, mutates
 * the worst candidates, and then minimizes each one while the goal is still missed (delta
 * debugging, Zeller and Hildebrandt 2002). The result depends on the seed, not on the number of
 * threads. Not thread-safe.
 */
public final class FaultSearch {
    private static final double EARLIEST_START_FRACTION = 0.22;
    private static final double LATEST_START_FRACTION = 0.4;
    private static final double MAX_DURATION_FRACTION = 0.12;
    private static final int MAX_FAULTS = 3;
    private static final int MAX_PARENTS = 8;
    private static final long TICK_NANOS = 100_000_000L;
    private static final double MIN_AFFECTED_FRACTION = 0.05;

    /**
     * A minimized set of faults that misses the goal. {@code shortfall} is the mean over the seeds,
     * {@code value} the metric of the worst {@code seed}, and {@code simulatedRuns} the number of
     * runs before the finding.
     */
    public record Finding(
            List<Fault> faults, double shortfall, double value, long seed, int simulatedRuns) {}

    private final SystemModel baseModel;
    private final Objective objective;
    private final int seeds;
    private final ExecutorService pool;
    private final UniformRandomProvider random;
    private final Consumer<String> progressListener;
    private int simulatedRuns;

    private record Candidate(List<Fault> faults, double shortfall, double value, long seed) {
        /** Returns the fault kinds; candidates with the same kinds count as one finding. */
        String kinds() {
            return faults.stream()
                    .map(fault -> fault.kind().name())
                    .sorted()
                    .distinct()
                    .collect(Collectors.joining("+"));
        }
    }

    private FaultSearch(
            SystemModel baseModel,
            Objective objective,
            int seeds,
            long seed,
            ExecutorService pool,
            Consumer<String> progressListener) {
        this.baseModel = baseModel;
        this.objective = objective;
        this.seeds = seeds;
        this.pool = pool;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.progressListener = progressListener;
    }

    /**
     * Evaluates {@code tries} random candidates and about a quarter as many mutations, and returns
     * up to {@code keep} of the worst with different kinds. Faults of the model itself are ignored.
     * Throws {@link IllegalArgumentException} if the model misses the goal without faults.
     */
    public static List<Finding> run(
            SystemModel model,
            Objective objective,
            int tries,
            int keep,
            int seeds,
            long seed,
            int threads,
            Consumer<String> progress)
            throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            return new FaultSearch(
                            model.withFaults(List.of()), objective, seeds, seed, pool, progress)
                    .run(tries, keep);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a simulation run failed", e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private List<Finding> run(int tries, int keep) throws InterruptedException, ExecutionException {
        Candidate faultFree = evaluate(List.of(List.of())).get(0);
        if (faultFree.shortfall > 0) {
            throw new IllegalArgumentException(
                    "the system model misses the goal "
                            + objective
                            + " without any fault; measured "
                            + faultFree.value);
        }
        List<List<Fault>> first = new ArrayList<>();
        for (int i = 0; i < tries; i++) {
            first.add(randomFaults());
        }
        List<Candidate> known = new ArrayList<>(evaluate(first));
        progressListener.accept(
                countMissing(known) + " of " + tries + " random runs miss the goal");
        for (int round = 0; round < 3; round++) {
            List<List<Fault>> next = new ArrayList<>();
            for (Candidate parent : worstOfEachKind(known).stream().limit(MAX_PARENTS).toList()) {
                for (int i = 0; i < Math.max(1, tries / 12 / MAX_PARENTS); i++) {
                    next.add(mutate(parent.faults));
                }
            }
            known.addAll(evaluate(next));
        }
        progressListener.accept(
                "after mutation of the worst: "
                        + countMissing(known)
                        + " of "
                        + known.size()
                        + " miss the goal");
        Map<String, Finding> found = new LinkedHashMap<>();
        for (Candidate candidate : worstOfEachKind(known)) {
            if (candidate.shortfall <= 0 || found.size() >= keep) {
                break;
            }
            Candidate small = shrink(candidate);
            if (!found.containsKey(small.kinds())) {
                found.put(
                        small.kinds(),
                        new Finding(
                                small.faults,
                                small.shortfall,
                                small.value,
                                small.seed,
                                simulatedRuns));
                progressListener.accept(
                        "found: " + String.join("; ", FaultFormat.describe(small.faults)));
            }
        }
        return List.copyOf(found.values());
    }

    private static long countMissing(List<Candidate> all) {
        return all.stream().filter(one -> one.shortfall > 0).count();
    }

    /**
     * Returns the worst candidate for each set of kinds, worst first, so that one weakness does not
     * hide the others.
     */
    private static List<Candidate> worstOfEachKind(List<Candidate> all) {
        Map<String, Candidate> byKinds = new LinkedHashMap<>();
        all.stream()
                .sorted(Comparator.comparingDouble((Candidate one) -> one.shortfall).reversed())
                .forEach(one -> byKinds.putIfAbsent(one.kinds(), one));
        return List.copyOf(byKinds.values());
    }

    private List<Candidate> evaluate(List<List<Fault>> all)
            throws InterruptedException, ExecutionException {
        List<Future<Map<String, Double>>> results = new ArrayList<>();
        for (List<Fault> faults : all) {
            for (int i = 0; i < seeds; i++) {
                SystemModel model = baseModel.withFaults(faults).withSeed(baseModel.seed() + i);
                results.add(pool.submit(() -> Metrics.of(model, Emulation.simulate(model))));
            }
        }
        List<Candidate> evaluated = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            double meanShortfall = 0;
            double worst = Double.NEGATIVE_INFINITY;
            double value = 0;
            long seed = baseModel.seed();
            for (int j = 0; j < seeds; j++) {
                Map<String, Double> metrics = results.get(i * seeds + j).get();
                double shortfallOfSeed = objective.shortfall(metrics);
                meanShortfall += shortfallOfSeed / seeds;
                if (shortfallOfSeed > worst) {
                    worst = shortfallOfSeed;
                    value = metrics.getOrDefault(objective.metric(), objective.bound());
                    seed = baseModel.seed() + j;
                }
            }
            evaluated.add(new Candidate(all.get(i), meanShortfall, value, seed));
        }
        simulatedRuns += results.size();
        return evaluated;
    }

    private List<Fault> randomFaults() {
        List<Fault> faults = new ArrayList<>();
        for (int i = random.nextInt(MAX_FAULTS); i >= 0; i--) {
            FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
            faults.add(
                    roundedFault(
                            baseModel.durationNanos()
                                    * (EARLIEST_START_FRACTION
                                            + (LATEST_START_FRACTION - EARLIEST_START_FRACTION)
                                                    * random.nextDouble()),
                            baseModel.durationNanos() * MAX_DURATION_FRACTION * random.nextDouble(),
                            kind,
                            random.nextDouble(),
                            1.5 + 4.5 * random.nextDouble()));
        }
        return faults;
    }

    /**
     * Creates a fault with its values limited to the valid ranges and rounded to readable steps.
     */
    private static Fault roundedFault(
            double startNanos,
            double durationNanos,
            FaultKind kind,
            double affectedFraction,
            double factor) {
        long roundedDurationNanos =
                Math.max(TICK_NANOS, (long) (durationNanos / TICK_NANOS) * TICK_NANOS);
        return new Fault(
                (long) (startNanos / TICK_NANOS) * TICK_NANOS,
                kind == FaultKind.COPIES_RELEASED ? 0 : roundedDurationNanos,
                kind,
                Math.rint(Math.max(MIN_AFFECTED_FRACTION, Math.min(1, affectedFraction)) * 100)
                        / 100,
                Math.rint(Math.max(1, Math.min(8, factor)) * 10) / 10);
    }

    private List<Fault> mutate(List<Fault> faults) {
        List<Fault> mutated = new ArrayList<>(faults);
        int index = random.nextInt(mutated.size());
        Fault original = mutated.get(index);
        if (mutated.size() < MAX_FAULTS && random.nextInt(4) == 0) {
            mutated.add(randomFaults().get(0));
        } else {
            mutated.set(
                    index,
                    roundedFault(
                            Math.max(
                                    baseModel.durationNanos() * EARLIEST_START_FRACTION,
                                    Math.min(
                                            baseModel.durationNanos() * LATEST_START_FRACTION,
                                            original.startNanos()
                                                    + baseModel.durationNanos()
                                                            * 0.05
                                                            * (random.nextDouble() - 0.5))),
                            Math.min(
                                    baseModel.durationNanos() * MAX_DURATION_FRACTION,
                                    original.durationNanos() * (0.6 + random.nextDouble())),
                            original.kind(),
                            original.machineFraction() * (0.6 + random.nextDouble()),
                            original.factor() * (0.6 + random.nextDouble())));
        }
        return mutated;
    }

    /** Removes faults, then makes the others milder, as long as the goal is still missed. */
    private Candidate shrink(Candidate original) throws InterruptedException, ExecutionException {
        Candidate best = original;
        boolean hasShrunk = true;
        while (hasShrunk) {
            hasShrunk = false;
            for (Candidate one : evaluate(milderVariants(best.faults))) {
                if (one.shortfall > 0) {
                    best = one;
                    hasShrunk = true;
                    break;
                }
            }
        }
        return best;
    }

    private static List<List<Fault>> milderVariants(List<Fault> faults) {
        List<List<Fault>> variants = new ArrayList<>();
        for (int i = 0; i < faults.size() && faults.size() > 1; i++) {
            List<Fault> fewer = new ArrayList<>(faults);
            fewer.remove(i);
            variants.add(fewer);
        }
        for (int i = 0; i < faults.size(); i++) {
            Fault original = faults.get(i);
            for (Fault milderFault :
                    List.of(
                            roundedFault(
                                    original.startNanos(),
                                    original.durationNanos() / 2.0,
                                    original.kind(),
                                    original.machineFraction(),
                                    original.factor()),
                            roundedFault(
                                    original.startNanos(),
                                    original.durationNanos(),
                                    original.kind(),
                                    original.machineFraction() / 2,
                                    original.factor()),
                            roundedFault(
                                    original.startNanos(),
                                    original.durationNanos(),
                                    original.kind(),
                                    original.machineFraction(),
                                    1 + (original.factor() - 1) / 2))) {
                if (!milderFault.equals(original)) {
                    List<Fault> variant = new ArrayList<>(faults);
                    variant.set(i, milderFault);
                    variants.add(variant);
                }
            }
        }
        return variants;
    }
}
