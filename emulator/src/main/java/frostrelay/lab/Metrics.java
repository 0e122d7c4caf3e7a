package frostrelay.lab;

import frostrelay.emulator.Emulation.Result;
import frostrelay.emulator.Figures;
import frostrelay.emulator.Plant;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What is measured of a day, by name. */
public final class Metrics {
    private static final long SECOND = 1_000_000_000L;

    /** Seconds at a day's end that tell whether service is back. */
    private static final int LAST = 15;

    private static final int BEFORE = 10;

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
    public static Map<String, Double> of(Plant plant, Result result) {
        Figures figures = result.figures();
        Map<String, Double> all = new LinkedHashMap<>();
        all.put("service", figures.service());
        all.put("p50Ms", figures.ms(50));
        all.put("p99Ms", figures.ms(99));
        all.put("copyShare", result.copyShare());
        all.put("hitShare", result.hitShare());
        all.put("fetches", (double) result.fetches());
        all.put("originFalls", (double) result.falls());
        all.put("refusedShare", figures.refused() / (double) Math.max(1, figures.asked()));
        all.put("failedShare", figures.failed() / (double) Math.max(1, figures.asked()));
        all.put("goal", figures.goal());
        all.put("handshakes", result.each(result.handshakes()));
        all.put("listLines", result.each(result.listLines()));
        all.put("waste", result.waste());
        all.put(
                "prices",
                HANDSHAKE_PRICE * result.each(result.handshakes())
                        + LIST_PRICE * result.each(result.listLines())
                        + WASTE_PRICE * result.waste());
        if (!plant.faults().isEmpty()) {
            int from =
                    (int)
                            (plant.faults().stream().mapToLong(Plant.Fault::at).min().orElse(0)
                                    / SECOND);
            int end = (int) Math.min(figures.seconds(), (faultsEnd(plant) + SECOND - 1) / SECOND);
            int back = result.recovery(from, end);
            all.put("recovery", (double) (back < 0 ? figures.seconds() - end : back));
            double before = figures.served(Math.max(0, from - BEFORE), Math.max(1, from));
            int last = figures.seconds();
            all.put(
                    "afterwards",
                    before == 0 ? 1 : figures.served(Math.max(0, last - LAST), last) / before);
        }
        return all;
    }

    /** When the last fault is over, in nanoseconds from the day's start. */
    private static long faultsEnd(Plant plant) {
        return plant.faults().stream()
                .mapToLong(fault -> fault.at() + fault.length())
                .max()
                .orElse(0);
    }
}
