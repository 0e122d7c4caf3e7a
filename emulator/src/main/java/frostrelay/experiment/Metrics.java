package frostrelay.experiment;

import frostrelay.emulator.Emulation.Result;
import frostrelay.emulator.RunStatistics;
import frostrelay.emulator.SystemModel;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The metrics of a simulation run, by name. */
public final class Metrics {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** The seconds at the end of a run in which recovered service is measured. */
    private static final int AFTERWARDS_SECONDS = 15;

    private static final int BASELINE_SECONDS = 10;

    /**
     * All metric names in output order. Only runs with faults have {@code recovery} and {@code
     * afterwards}.
     */
    public static final List<String> NAMES =
            List.of(
                    "service",
                    "p50Ms",
                    "p99Ms",
                    "copyShare",
                    "hitShare",
                    "fetches",
                    "originFalls",
                    "refusedShare",
                    "failedShare",
                    "goal",
                    "prices",
                    "handshakes",
                    "listLines",
                    "waste",
                    "recovery",
                    "afterwards");

    /**
     * The operators' deductions from the objective: for one handshake per request, for a hundred
     * endpoint list lines per request ({@link #LIST_PRICE}), and if all work is wasted ({@link
     * #WASTE_PRICE}).
     */
    private static final double HANDSHAKE_PRICE = 0.08;

    private static final double LIST_PRICE = 0.01 / 100;
    private static final double WASTE_PRICE = 0.02;

    private Metrics() {}

    /**
     * Computes the metrics of a run. {@code recovery} is the number of seconds until service has
     * recovered, or until the end of the run if it has not.
     */
    public static Map<String, Double> of(SystemModel model, Result result) {
        RunStatistics figures = result.statistics();
        Map<String, Double> metrics = new LinkedHashMap<>();
        metrics.put("service", figures.inTimeFraction());
        metrics.put("p50Ms", figures.latencyMillis(50));
        metrics.put("p99Ms", figures.latencyMillis(99));
        metrics.put("copyShare", result.additionalAttemptRatio());
        metrics.put("hitShare", result.hitRatio());
        metrics.put("fetches", (double) result.originCalls());
        metrics.put("originFalls", (double) result.originOverloads());
        metrics.put("refusedShare", figures.rejected() / (double) Math.max(1, figures.asked()));
        metrics.put("failedShare", figures.failed() / (double) Math.max(1, figures.asked()));
        metrics.put("goal", figures.objective());
        metrics.put("handshakes", result.perRequest(result.handshakes()));
        metrics.put("listLines", result.perRequest(result.listEntriesSent()));
        metrics.put("waste", result.wastedWorkFraction());
        metrics.put(
                "prices",
                HANDSHAKE_PRICE * result.perRequest(result.handshakes())
                        + LIST_PRICE * result.perRequest(result.listEntriesSent())
                        + WASTE_PRICE * result.wastedWorkFraction());
        if (!model.faults().isEmpty()) {
            int firstFaultSecond =
                    (int)
                            (model.faults().stream()
                                            .mapToLong(SystemModel.Fault::startNanos)
                                            .min()
                                            .orElse(0)
                                    / NANOS_PER_SECOND);
            int faultsEndSecond =
                    (int)
                            Math.min(
                                    figures.seconds(),
                                    (faultsEndNanos(model) + NANOS_PER_SECOND - 1)
                                            / NANOS_PER_SECOND);
            int recoverySeconds = result.recoverySeconds(firstFaultSecond, faultsEndSecond);
            metrics.put(
                    "recovery",
                    (double)
                            (recoverySeconds < 0
                                    ? figures.seconds() - faultsEndSecond
                                    : recoverySeconds));
            double baseline =
                    figures.served(
                            Math.max(0, firstFaultSecond - BASELINE_SECONDS),
                            Math.max(1, firstFaultSecond));
            int endSecond = figures.seconds();
            metrics.put(
                    "afterwards",
                    baseline == 0
                            ? 1
                            : figures.served(Math.max(0, endSecond - AFTERWARDS_SECONDS), endSecond)
                                    / baseline);
        }
        return metrics;
    }

    /** Returns the end of the last fault in nanoseconds from the start of the run. */
    private static long faultsEndNanos(SystemModel model) {
        return model.faults().stream()
                .mapToLong(fault -> fault.startNanos() + fault.durationNanos())
                .max()
                .orElse(0);
    }
}
