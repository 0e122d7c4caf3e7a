package frostrelay.emulator;

import org.HdrHistogram.Histogram;

import java.util.Arrays;

/** What clients got, by first tries: a client's retries belong to its first try. */
public final class Figures {
    private static final long SECOND = 1_000_000_000L;
    private static final long MOST_MICROS = 120_000_000L;

    /** What an answer after its aim is worth, as a part. */
    static final double LATE_WORTH = 0.3;

    /**
     * What the whole day, its worst ten seconds, its worst class and its worst tenant weigh for the
     * operators.
     */
    private static final double[] WEIGHTS = {0.45, 0.15, 0.3, 0.1};

    private static final int WORST_SECONDS = 10;

    private final Histogram latency = new Histogram(MOST_MICROS, 3);

    /** Of the second that runs. */
    private final Histogram lately = new Histogram(MOST_MICROS, 2);

    /** What began before is not counted. */
    private final long start;

    /** By the second in which first tries were made. */
    private final int[] askedBySecond;

    private final int[] inTimeBySecond;

    /** Worth asked for and earned, answers after the aim included: by second, class and tenant. */
    private final double[][] asks;

    private final double[][] earns;
    private long asked;
    private long tries;
    private long inTime;
    private long late;
    private long refused;
    private long failed;
    private double worthAsked;
    private double worthInTime;

    Figures(long start, long length, int classes, int tenants) {
        this.start = start;
        int seconds = (int) ((length + SECOND - 1) / SECOND);
        asks =
                new double[][] {
                    new double[seconds], new double[classes], new double[Math.max(1, tenants)]
                };
        earns =
                new double[][] {
                    new double[seconds], new double[classes], new double[Math.max(1, tenants)]
                };
        askedBySecond = new int[seconds];
        inTimeBySecond = new int[seconds];
    }

    void asked(long at, int requestClass, int tenant, double worth) {
        if (at < start) {
            return;
        }
        add(asks, at, requestClass, tenant, worth);
        asked++;
        worthAsked += worth;
        askedBySecond[(int) ((at - start) / SECOND)]++;
    }

    void tried(long at) {
        tries += at < start ? 0 : 1;
    }

    private void add(double[][] sums, long at, int requestClass, int tenant, double worth) {
        sums[0][(int) ((at - start) / SECOND)] += worth;
        sums[1][requestClass] += worth;
        sums[2][tenant] += worth;
    }

    void served(long at, long took, boolean good, int requestClass, int tenant, double worth) {
        if (at < start) {
            return;
        }
        add(earns, at, requestClass, tenant, good ? worth : LATE_WORTH * worth);
        latency.recordValue(Math.min(MOST_MICROS, took / 1_000));
        lately.recordValue(Math.min(MOST_MICROS, took / 1_000));
        if (good) {
            inTime++;
            worthInTime += worth;
            inTimeBySecond[(int) ((at - start) / SECOND)]++;
        } else {
            late++;
        }
    }

    void ended(long at, boolean wasRefused) {
        if (at < start) {
            return;
        }
        if (wasRefused) {
            refused++;
        } else {
            failed++;
        }
    }

    /** First tries. */
    public long asked() {
        return asked;
    }

    /** All tries, clients' retries included. */
    public long tries() {
        return tries;
    }

    /** First tries answered within their aim. */
    public long inTime() {
        return inTime;
    }

    /** First tries answered after their aim. */
    public long late() {
        return late;
    }

    /** First tries that ended refused. */
    public long refused() {
        return refused;
    }

    /** First tries that ended failed or unanswered. */
    public long failed() {
        return failed;
    }

    /** Worth answered in time over worth asked for. */
    public double service() {
        return worthAsked == 0 ? 0 : worthInTime / worthAsked;
    }

    /**
     * The operators' goal: whole day, worst ten seconds, worst class and worst tenant weighed,
     * before any price.
     */
    public double goal() {
        double whole = Arrays.stream(earns[1]).sum() / Math.max(1e-9, Arrays.stream(asks[1]).sum());
        double spell = 1;
        for (int from = 0; from + WORST_SECONDS <= asks[0].length; from++) {
            double all = Arrays.stream(asks[0], from, from + WORST_SECONDS).sum();
            spell =
                    all == 0
                            ? spell
                            : Math.min(
                                    spell,
                                    Arrays.stream(earns[0], from, from + WORST_SECONDS).sum()
                                            / all);
        }
        return WEIGHTS[0] * whole
                + WEIGHTS[1] * Math.min(whole, spell)
                + WEIGHTS[2] * least(1)
                + WEIGHTS[3] * least(2);
    }

    private double least(int by) {
        double least = 1;
        for (int i = 0; i < asks[by].length; i++) {
            least = asks[by][i] == 0 ? least : Math.min(least, earns[by][i] / asks[by][i]);
        }
        return least;
    }

    /** A percentile of served latencies from the first try on, in milliseconds. */
    public double ms(double percentile) {
        return latency.getTotalCount() == 0 ? 0 : latency.getValueAtPercentile(percentile) / 1e3;
    }

    /**
     * A percentile of what was served since it was last forgotten, in milliseconds; 0 for nothing.
     */
    double lately(double percentile) {
        return lately.getTotalCount() == 0 ? 0 : lately.getValueAtPercentile(percentile) / 1e3;
    }

    void forgetLately() {
        lately.reset();
    }

    /**
     * The share of a span's first tries that were served in time; seconds from the start, the last
     * one not included.
     */
    public double served(int from, int to) {
        long all = Arrays.stream(askedBySecond, from, to).sum();
        return all == 0 ? 1 : Arrays.stream(inTimeBySecond, from, to).sum() / (double) all;
    }

    /** Whole seconds of the day. */
    public int seconds() {
        return askedBySecond.length;
    }
}
