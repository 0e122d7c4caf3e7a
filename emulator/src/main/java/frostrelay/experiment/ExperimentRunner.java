package frostrelay.experiment;

import frostrelay.emulator.SystemModel;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadPoolExecutor;

/**
 * A runner that simulates an experiment on several threads. All points use the same seeds, so that
 * differences between points come from their models and not from chance. The set of runs does not
 * depend on the number of threads, and runs that are in the results file are not repeated.
 */
public final class ExperimentRunner {
    /** A listener for the progress of an experiment. */
    public interface Progress {
        /** Reports completed runs; called by the thread that runs the experiment. */
        void onProgress(int completedRuns, int totalRuns);
    }

    private ExperimentRunner() {}

    /**
     * Simulates the runs that are not in the file yet. After an interrupt the completed runs stay
     * in the file. Throws {@link IOException} if the file cannot be written.
     */
    public static void run(Experiment experiment, ResultsFile file, int threads, Progress progress)
            throws IOException, InterruptedException {
        ThreadPoolExecutor pool =
                (ThreadPoolExecutor)
                        Executors.newFixedThreadPool(
                                threads,
                                task -> {
                                    Thread thread = new Thread(task, "lab");
                                    thread.setDaemon(true);
                                    return thread;
                                });
        try {
            int totalRuns = experiment.points().size() * experiment.seeds();
            int completedRuns = 0;
            Map<Integer, List<RunResult>> resultsByPoint = new LinkedHashMap<>();
            for (int point = 0; point < experiment.points().size(); point++) {
                resultsByPoint.put(point, new ArrayList<>());
            }
            // Works in rounds, so that a stop rule sees the same runs in any order of completion.
            for (int from = 0; from < experiment.seeds(); from += roundSize(experiment)) {
                int to = Math.min(experiment.seeds(), from + roundSize(experiment));
                List<Future<RunResult>> pendingResults = new ArrayList<>();
                for (Map.Entry<Integer, List<RunResult>> point : resultsByPoint.entrySet()) {
                    if (experiment.stopRule() != null
                            && experiment.stopRule().isReached(point.getValue())) {
                        continue;
                    }
                    for (int i = from; i < to; i++) {
                        pendingResults.add(submit(pool, experiment, point.getKey(), i, file));
                    }
                }
                for (Future<RunResult> pendingResult : pendingResults) {
                    throwIfInterrupted();
                    RunResult result = pendingResult.get();
                    resultsByPoint.get(result.point()).add(result);
                    progress.onProgress(++completedRuns, totalRuns);
                }
            }
            throwIfInterrupted();
            file.rewriteInOrder();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException io) {
                throw io;
            }
            throw new IllegalStateException("a simulation run failed", e.getCause());
        } finally {
            // Workers are not interrupted, because an interrupt during a write closes the file
            // channel that all of them share.
            pool.shutdown();
            pool.getQueue().clear();
        }
    }

    /**
     * Throws if this thread was interrupted, and clears the flag. {@code Future.get} returns a
     * finished result in spite of an interrupt, and a set flag would close the file channel at the
     * next write.
     */
    private static void throwIfInterrupted() throws InterruptedException {
        if (Thread.interrupted()) {
            throw new InterruptedException();
        }
    }

    private static int roundSize(Experiment experiment) {
        return experiment.stopRule() == null
                ? experiment.seeds()
                : experiment.stopRule().minSeeds();
    }

    private static Future<RunResult> submit(
            ExecutorService pool,
            Experiment experiment,
            int point,
            int seedIndex,
            ResultsFile file) {
        Experiment.Point experimentPoint = experiment.points().get(point);
        SystemModel model =
                experimentPoint.modelOfSeed().apply(experimentPoint.model().seed() + seedIndex);
        return pool.submit(
                () -> {
                    RunResult result = file.find(point, model.seed());
                    if (result == null) {
                        // Only the first run keeps its time series, so that the file stays small.
                        result = RunResult.simulate(point, model, seedIndex == 0);
                        file.add(result);
                    }
                    return result;
                });
    }
}
