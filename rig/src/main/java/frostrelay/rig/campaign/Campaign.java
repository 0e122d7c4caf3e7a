package frostrelay.rig.campaign;

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
    private static final int MOST_SHRINKS = 40;

    private final Matter matter;
    private final Path folder;
    private final boolean keep;
    private final CampaignPlay.Launch launch;
    private final String defect;
    private final Consumer<String> lines;

    /**
     * {@code folder}: of all plays; {@code keep}: also files of plays without violations; {@code
     * defect}: put into one balancer, or null; {@code lines}: progress.
     */
    public Campaign(
            Matter matter,
            Path folder,
            boolean keep,
            CampaignPlay.Launch launch,
            String defect,
            Consumer<String> lines) {
        this.matter = matter;
        this.folder = folder;
        this.keep = keep;
        this.launch = launch;
        this.defect = defect;
        this.lines = lines;
    }

    /** Plays all of them, {@code atOnce} at a time; outcomes in the order of the schedules. */
    public List<CampaignPlay.Outcome> play(List<Schedule> schedules, int atOnce)
            throws InterruptedException, IOException {
        ExecutorService pool = Executors.newFixedThreadPool(atOnce);
        try {
            List<Future<CampaignPlay.Outcome>> all = new ArrayList<>();
            for (Schedule schedule : schedules) {
                Callable<CampaignPlay.Outcome> play =
                        () -> play(schedule, folder.resolve(schedule.name()));
                all.add(pool.submit(play));
            }
            List<CampaignPlay.Outcome> outcomes = new ArrayList<>();
            for (Future<CampaignPlay.Outcome> one : all) {
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

    private CampaignPlay.Outcome play(Schedule schedule, Path into)
            throws IOException, InterruptedException {
        CampaignPlay.Outcome outcome = CampaignPlay.play(matter, schedule, into, launch, defect);
        lines.accept(
                schedule.name()
                        + ": "
                        + (outcome.violations().isEmpty()
                                ? "kept"
                                : outcome.violations().size()
                                        + " violations, the first: "
                                        + outcome.violations().get(0).what()));
        if (outcome.violations().isEmpty() && !keep) {
            remove(into);
        }
        return outcome;
    }

    /** Leaves happenings out, one at a time, as long as it fails without them. */
    public Schedule shrink(Schedule failing) throws IOException, InterruptedException {
        Schedule least = failing;
        int plays = 0;
        for (int i = least.happenings().size() - 1; i >= 0 && plays < MOST_SHRINKS; i--) {
            Schedule fewer = least.without(i);
            Path into = folder.resolve(failing.name() + "-shrink-" + plays++);
            boolean fails =
                    !CampaignPlay.play(matter, fewer, into, launch, defect).violations().isEmpty();
            remove(into);
            if (fails) {
                least = fewer;
                lines.accept(
                        failing.name()
                                + ": fails with "
                                + least.happenings().size()
                                + " happenings");
            }
        }
        return least;
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
