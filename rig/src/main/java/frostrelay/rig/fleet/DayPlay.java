package frostrelay.rig.fleet;

import frostrelay.rig.client.Front;
import frostrelay.rig.client.OpenLoop;
import frostrelay.rig.client.Tally;
import frostrelay.rig.day.Day;

import io.netty.util.concurrent.Future;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/** Plays a whole day: fleet, load and faults, with a line each second for who watches. */
public final class DayPlay {
    private static final long SECOND_MS = 1_000;
    private static final long SPARE_MS = 60_000;

    private DayPlay() {}

    /**
     * Returns what the day came to. {@code lines}: hears a line each second and one for each fault.
     */
    public static Result play(Day day, Path folder, Program program, Consumer<String> lines)
            throws IOException, InterruptedException {
        try (Fleet fleet = new Fleet(day, folder, program)) {
            fleet.startBalancers();
            return play(fleet, lines);
        }
    }

    /** Likewise on a fleet that runs. */
    public static Result play(Fleet fleet, Consumer<String> lines) throws InterruptedException {
        Front front = new Front(fleet.balancers().stream().map(Fleet.Place::listen).toList());
        Tally tally = new Tally();
        OpenLoop load = new OpenLoop(fleet.day(), front, fleet.loop(), fleet.referee(), tally);
        long start = System.nanoTime();
        try (Faults faults =
                new Faults(fleet, front, load, text -> lines.accept("    >> " + text))) {
            Future<Tally> done = load.run();
            faults.play();
            Watch watch = new Watch(fleet, tally);
            long limit = start + fleet.day().length() + SPARE_MS * 1_000_000;
            while (!await(done)) {
                lines.accept(watch.line((System.nanoTime() - start) / 1e9));
                if (System.nanoTime() > limit) {
                    throw new IllegalStateException("requests are still open long after the last");
                }
            }
        }
        return new Result(
                tally,
                fleet.referee(),
                fleet.hits(),
                fleet.misses(),
                fleet.fetches(),
                (System.nanoTime() - start) / 1e9);
    }

    private static boolean await(Future<Tally> done) throws InterruptedException {
        try {
            done.get(SECOND_MS, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** What changes from second to second. */
    private static final class Watch {
        private final Fleet fleet;
        private final Tally tally;
        private long tries;
        private long copies;
        private long hits;
        private long misses;

        Watch(Fleet fleet, Tally tally) {
            this.fleet = fleet;
            this.tally = tally;
        }

        String line(double seconds) {
            Tally.Recent recent = tally.recent();
            long triesNow = tally.tries();
            long copiesNow = fleet.referee().copies();
            long hitsNow = fleet.hits();
            long missesNow = fleet.misses();
            long reads = hitsNow - hits + missesNow - misses;
            String line =
                    String.format(
                            Locale.ROOT,
                            "%5.1f s  %5d/s  in time %5.1f%%  p50 %5.1f ms  p99 %6.1f ms  copies %4.1f%%  hits %4.1f%%",
                            seconds,
                            recent.ended(),
                            100.0 * recent.inTime() / Math.max(1, recent.ended()),
                            recent.p50Ms(),
                            recent.p99Ms(),
                            100.0 * (copiesNow - copies) / Math.max(1, triesNow - tries),
                            100.0 * (hitsNow - hits) / Math.max(1, reads));
            tries = triesNow;
            copies = copiesNow;
            hits = hitsNow;
            misses = missesNow;
            return line;
        }
    }
}
