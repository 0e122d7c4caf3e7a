package frostrelay.stragglers;

/**
 * Whether this balancer serves worse since it took a version, by its own counts alone. Others
 * compare such words of those that took a version with those of balancers that did not: a fault of
 * caches hits both. Lists change all the time, and each cache that drains leaves less room: of a
 * list only that it ends nearly all service is held against it.
 */
public final class Service {
    private static final long NEVER = Long.MIN_VALUE;
    private static final int SECONDS = 10;

    /** A share over fewer requests is chance: at 20 a share of 0.9 has a spread of 0.07. */
    private static final int LEAST = 20;

    /** One bad second is a start, a pause or a burst. */
    private static final int IN_A_ROW = 2;

    /** Of what was usual: a list that leaves less is no mere drain. */
    private static final double NEARLY_NOTHING = 0.25;

    /**
     * Nothing is known of before where it has just started: then half is the measure of a
     * configuration.
     */
    private static final double UNKNOWN = 0.5;

    private final StragglerSettings settings;

    /** Requests that ended and those served among them, by seconds, in a ring. */
    private final long[] ended = new long[SECONDS];

    private final long[] served = new long[SECONDS];
    private int at;
    private long endedBefore;
    private long servedBefore;
    private double usual = Double.NaN;
    private long tookAt = NEVER;
    private int bad;
    private boolean fails;

    private final Kind kind;

    /** {@code settings}: how much worse is worse, and for how long a version is answerable. */
    public Service(StragglerSettings settings, Kind kind) {
        this.settings = settings;
        this.kind = kind;
    }

    /**
     * Another version holds from now on. Where one comes soon behind another, what was usual before
     * the first stays the measure.
     */
    public void onTook(long now) {
        if (tookAt == NEVER || now - tookAt > settings.answerable()) {
            double share = share(SECONDS);
            usual = Double.isNaN(share) ? usual : share;
        }
        tookAt = now;
        java.util.Arrays.fill(ended, 0);
        java.util.Arrays.fill(served, 0);
    }

    /**
     * Counts since the start, about once a second: requests that ended, whatever came of them, and
     * those that were served.
     */
    public void onSecond(long now, long allEnded, long allServed) {
        at = (at + 1) % SECONDS;
        ended[at] = allEnded - endedBefore;
        served[at] = allServed - servedBefore;
        endedBefore = allEnded;
        servedBefore = allServed;
        if (tookAt == NEVER || now - tookAt > settings.answerable()) {
            fails = false;
            bad = 0;
            return;
        }
        double share = share(3);
        if (!Double.isNaN(share)) {
            double measure = measure();
            bad = share < (fails ? measure + settings.worse() / 2 : measure) ? bad + 1 : 0;
            fails = bad >= IN_A_ROW;
        }
    }

    private double measure() {
        if (kind == Kind.LIST) {
            return Double.isNaN(usual) ? 0 : usual * NEARLY_NOTHING;
        }
        return Double.isNaN(usual) ? UNKNOWN : usual - settings.worse();
    }

    /**
     * Served of those that ended in the last so many seconds; NaN where they are too few to tell.
     */
    private double share(int seconds) {
        long all = 0;
        long good = 0;
        for (int i = 0; i < seconds; i++) {
            all += ended[(at - i + SECONDS) % SECONDS];
            good += served[(at - i + SECONDS) % SECONDS];
        }
        return all < LEAST ? Double.NaN : good / (double) all;
    }

    /**
     * Whether it serves worse, by more than the settings allow, than before it took the version.
     */
    public boolean fails() {
        return fails;
    }
}
