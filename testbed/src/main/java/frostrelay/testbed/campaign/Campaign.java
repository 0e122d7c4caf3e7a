package frostrelay.testbed.campaign;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Many schedules, some at a time, and the smaller form of those that fail. */
public final class Campaign {
    /** Plays that a shrinking may take: beyond this a schedule is kept as it is then. */
    private static final int MAX_SHRINK_RUNS = 40;

    private final CampaignSubject subject;
    private final Path folder;
    private final boolean keepFiles;
    private final CampaignRun.Launch launch;
    private final String defect;
    private final Consumer<String> progress;

    /**
     * {@code folder}: of all plays; {@code keepFiles}: also files of plays without violations;
     * {@code defect}: put into one balancer, or null; {@code progress}: progress.
     */
    public Campaign(
            CampaignSubject subject,
            Path folder,
            boolean keepFiles,
            CampaignRun.Launch launch,
            String defect,
            Consumer<String> progress) {
        this.subject = subject;
        this.folder = folder;
        this.keepFiles = keepFiles;
        this.launch = launch;
        this.defect = defect;
        this.progress = progress;
    }

    /** Plays all of them, {@code parallelism} at a time; outcomes in the order of the schedules. */
    public List<CampaignRun.Outcome> run(List<Schedule> schedules, int parallelism)
            throws InterruptedException, IOException {
        ExecutorService pool = Executors.newFixedThreadPool(parallelism);
        try {
            List<Future<CampaignRun.Outcome>> all = new ArrayList<>();
            for (Schedule schedule : schedules) {
                Callable<CampaignRun.Outcome> task =
                        () -> run(schedule, folder.resolve(schedule.name()));
                all.add(pool.submit(task));
            }
            List<CampaignRun.Outcome> outcomes = new ArrayList<>();
            for (Future<CampaignRun.Outcome> one : all) {
                try {
                    outcomes.add(one.get());
                } catch (ExecutionException e) {
                    throw new IOException("a play broke off: " + e.getCause(), e.getCause());
                }
            }
            return outcomes;
        } finally {
            pool.shutdownNow();
        }
    }

    private CampaignRun.Outcome run(Schedule schedule, Path outputFolder)
            throws IOException, InterruptedException {
        CampaignRun.Outcome outcome =
                CampaignRun.play(subject, schedule, outputFolder, launch, defect);
        progress.accept(
                schedule.name()
                        + ": "
                        + (outcome.violations().isEmpty()
                                ? "kept"
                                : outcome.violations().size()
                                        + " violations, the first: "
                                        + outcome.violations().get(0).what()));
        if (outcome.violations().isEmpty() && !keepFiles) {
            remove(outputFolder);
        }
        return outcome;
    }

    /** Leaves happenings out, one at a time, as long as it fails without them. */
    public Schedule shrink(Schedule failing) throws IOException, InterruptedException {
        Schedule smallest = failing;
        int runs = 0;
        for (int i = smallest.events().size() - 1; i >= 0 && runs < MAX_SHRINK_RUNS; i--) {
            Schedule candidate = smallest.withoutEvent(i);
            Path outputFolder = folder.resolve(failing.name() + "-shrink-" + runs++);
            boolean stillFails =
                    !CampaignRun.play(subject, candidate, outputFolder, launch, defect)
                            .violations()
                            .isEmpty();
            remove(outputFolder);
            if (stillFails) {
                smallest = candidate;
                progress.accept(
                        failing.name()
                                + ": fails with "
                                + smallest.events().size()
                                + " happenings");
            }
        }
        return smallest;
    }

    private static void remove(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
