package frostrelay.lab;

import frostrelay.emulator.Plant;

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
 * Plays an experiment over threads: the same seeds for all points, so that two points differ by
 * their plants and not by chance. Which days are played does not depend on the number of threads,
 * and what is in the file is not played again.
 */
public final class Lab {
    /** Hears how far it is: days done of the most there can be. */
    public interface Progress {
        /** Called by the thread that plays the experiment. */
        void done(int days, int most);
    }

    private Lab() {}

    /**
     * Plays what is missing. An interrupt ends it: what was played is in the file. Throws {@link
     * IOException} if that cannot be written.
     */
    public static void play(Experiment experiment, ResultsFile file, int threads, Progress progress)
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
            int most = experiment.points().size() * experiment.seeds();
            int done = 0;
            Map<Integer, List<Day>> kept = new LinkedHashMap<>();
            for (int point = 0; point < experiment.points().size(); point++) {
                kept.put(point, new ArrayList<>());
            }
            // By rounds, so that a stop rule sees the same days whichever thread is first.
            for (int from = 0; from < experiment.seeds(); from += round(experiment)) {
                int to = Math.min(experiment.seeds(), from + round(experiment));
                List<Future<Day>> days = new ArrayList<>();
                for (Map.Entry<Integer, List<Day>> point : kept.entrySet()) {
                    if (experiment.stop() != null && experiment.stop().enough(point.getValue())) {
                        continue;
                    }
                    for (int i = from; i < to; i++) {
                        days.add(submit(pool, experiment, point.getKey(), i, file));
                    }
                }
                for (Future<Day> one : days) {
                    endIfInterrupted();
                    Day day = one.get();
                    kept.get(day.point()).add(day);
                    progress.done(++done, most);
                }
            }
            endIfInterrupted();
            file.finish();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException io) {
                throw io;
            }
            throw new IllegalStateException("a day could not be played", e.getCause());
        } finally {
            // Not interrupted: that would close the file under the one that writes, and under all
            // others.
            pool.shutdown();
            pool.getQueue().clear();
        }
    }

    /**
     * What is done is given at once, interrupted or not: an interrupt would be seen by the file,
     * which it closes.
     */
    private static void endIfInterrupted() throws InterruptedException {
        if (Thread.interrupted()) {
            throw new InterruptedException();
        }
    }

    private static int round(Experiment experiment) {
        return experiment.stop() == null ? experiment.seeds() : experiment.stop().least();
    }

    private static Future<Day> submit(
            ExecutorService pool, Experiment experiment, int point, int number, ResultsFile file) {
        Experiment.Point played = experiment.points().get(point);
        Plant day = played.draws().apply(played.plant().seed() + number);
        return pool.submit(
                () -> {
                    Day known = file.find(point, day.seed());
                    if (known == null) {
                        // The course of one day is enough to look at, and keeps the file small.
                        known = Day.play(point, day, number == 0);
                        file.add(known);
                    }
                    return known;
                });
    }
}
