package frostrelay.testbed.fleet;

import frostrelay.testbed.client.ClientStatistics;
import frostrelay.testbed.client.OpenLoopClients;
import frostrelay.testbed.client.RoundRobinFrontend;
import frostrelay.testbed.scenario.Scenario;

import io.netty.util.concurrent.Future;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/** Runs a scenario with its cluster, load and faults, and reports progress each second. */
public final class ScenarioRun {
    private static final long REPORT_INTERVAL_MILLIS = 1_000;
    private static final long COMPLETION_GRACE_MILLIS = 60_000;

    private ScenarioRun() {}

    /**
     * Runs a scenario on a new cluster and returns its result. {@code progress}: receives a line
     * per second and one per fault.
     */
    public static ScenarioResult run(
            Scenario scenario, Path directory, BalancerCommand program, Consumer<String> progress)
            throws IOException, InterruptedException {
        try (TestCluster fleet = new TestCluster(scenario, directory, program)) {
            fleet.startBalancers();
            return run(fleet, progress);
        }
    }

    /** Runs the scenario of a cluster whose balancers are running and returns its result. */
    public static ScenarioResult run(TestCluster fleet, Consumer<String> progress)
            throws InterruptedException {
        RoundRobinFrontend frontend =
                new RoundRobinFrontend(
                        fleet.balancers().stream()
                                .map(TestCluster.BalancerInstance::listenAddress)
                                .toList());
        ClientStatistics statistics = new ClientStatistics();
        OpenLoopClients clients =
                new OpenLoopClients(
                        fleet.scenario(),
                        frontend,
                        fleet.loop(),
                        fleet.invariantChecker(),
                        statistics);
        long start = System.nanoTime();
        try (FaultInjector faults =
                new FaultInjector(
                        fleet, frontend, clients, text -> progress.accept("    >> " + text))) {
            Future<ClientStatistics> completion = clients.run();
            faults.scheduleTimeline();
            ProgressReporter watch = new ProgressReporter(fleet, statistics);
            long limit =
                    start + fleet.scenario().durationNanos() + COMPLETION_GRACE_MILLIS * 1_000_000;
            while (!await(completion)) {
                progress.accept(watch.line((System.nanoTime() - start) / 1e9));
                if (System.nanoTime() > limit) {
                    throw new IllegalStateException("requests are still open long after the last");
                }
            }
        }
        return new ScenarioResult(
                statistics,
                fleet.invariantChecker(),
                fleet.hits(),
                fleet.misses(),
                fleet.fetches(),
                (System.nanoTime() - start) / 1e9);
    }

    private static boolean await(Future<ClientStatistics> completion) throws InterruptedException {
        try {
            completion.get(REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Formats the change of the figures since the previous report. */
    private static final class ProgressReporter {
        private final TestCluster fleet;
        private final ClientStatistics statistics;
        private long attempts;
        private long hedges;
        private long hits;
        private long misses;

        ProgressReporter(TestCluster fleet, ClientStatistics statistics) {
            this.fleet = fleet;
            this.statistics = statistics;
        }

        String line(double seconds) {
            ClientStatistics.Recent recent = statistics.recent();
            long attemptsNow = statistics.attempts();
            long hedgesNow = fleet.invariantChecker().hedgeCount();
            long hitsNow = fleet.hits();
            long missesNow = fleet.misses();
            long reads = hitsNow - hits + missesNow - misses;
            String line =
                    String.format(
                            Locale.ROOT,
                            "%5.1f s  %5d/s  in time %5.1f%%  p50 %5.1f ms  p99 %6.1f ms  copies %4.1f%%  hits %4.1f%%",
                            seconds,
                            recent.completed(),
                            100.0 * recent.inTime() / Math.max(1, recent.completed()),
                            recent.p50Ms(),
                            recent.p99Ms(),
                            100.0 * (hedgesNow - hedges) / Math.max(1, attemptsNow - attempts),
                            100.0 * (hitsNow - hits) / Math.max(1, reads));
            attempts = attemptsNow;
            hedges = hedgesNow;
            hits = hitsNow;
            misses = missesNow;
            return line;
        }
    }
}
