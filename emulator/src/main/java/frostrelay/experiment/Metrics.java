package frostrelay.experiment;

import frostrelay.emulator.Emulation.Result;
import frostrelay.emulator.RunStatistics;
import frostrelay.emulator.SystemModel;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What is measured of a day, by name. */
public final class Metrics {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Seconds at a day's end that tell whether service is back. */
    private static final int AFTERWARDS_SECONDS = 15;

    private static final int BASELINE_SECONDS = 10;

    /**
     * All names, in the order in which they are told; the last ones are there for days with faults
     * only.
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
     * What the operators take off the goal for a handshake at each first try, a hundred list lines
     * and all work wasted.
     */
    private static final double HANDSHAKE_PRICE = 0.08;

    private static final double LIST_PRICE = 0.01 / 100;
    private static final double WASTE_PRICE = 0.02;

    private Metrics() {}

    /**
     * Of a day. {@code recovery}: seconds until service is back, counted as all that is left if it
     * is not.
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

    /** When the last fault is over, in nanoseconds from the day's start. */
    private static long faultsEndNanos(SystemModel model) {
        return model.faults().stream()
                .mapToLong(fault -> fault.startNanos() + fault.durationNanos())
                .max()
                .orElse(0);
    }
}
