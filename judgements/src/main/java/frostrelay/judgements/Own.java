package frostrelay.judgements;

/** What this balancer saw of one cache lately: counts that fade. */
final class Own {
    /** Less than a third of one attempt is gone. */
    private static final double LEAST = 0.3;

    private static final double LN2 = Math.log(2);
    private double good;
    private double bad;

    /** Attempts in a row that were none. */
    private int row;

    private int kinds;
    private long at;
    private long goodAt = Long.MIN_VALUE / 2;

    /** What was last written of it, and when; null for nothing. */
    Evidence written;

    long writtenAt = Long.MIN_VALUE / 2;
    int seq;

    /**
     * {@code sentAt}: of the attempt. One unanswered while its cache answered others tells of its
     * key, not of the cache.
     */
    void see(long now, Seen seen, long sentAt, long half) {
        if (seen == Seen.SILENT && goodAt >= sentAt) {
            return;
        }
        fade(now, half);
        if (seen == Seen.ANSWERED) {
            good++;
            goodAt = now;
            row = 0;
        } else {
            bad++;
            row++;
            kinds |= seen.bit();
        }
    }

    private void fade(long now, long half) {
        double left = Math.exp(-LN2 * (now - at) / half);
        good *= left;
        bad *= left;
        at = now;
        if (bad < LEAST) {
            bad = 0;
            row = 0;
            kinds = 0;
        }
    }

    /** Whether an answer came so lately that others' word counts for nothing. */
    boolean freshGood(long now, long fresh) {
        return now - goodAt < fresh && row == 0;
    }

    /** Whether the last attempt, if lately, was none. */
    boolean failed() {
        return row > 0;
    }

    /** When it last answered, if nothing has failed since: word older than that is overtaken. */
    long answeredAt() {
        return row == 0 ? goodAt : Long.MIN_VALUE;
    }

    /**
     * Two in a row, one behind a long while without an answer, or most of what was seen lately;
     * silence alone not where it answered others lately, as it is slow for some keys then.
     */
    boolean isBad(long now, JudgementSettings settings) {
        fade(now, settings.half());
        if (kinds == Seen.SILENT.bit() && now - goodAt < settings.half()) {
            return false;
        }
        return bad > good || row >= 2 || row == 1 && now - goodAt >= settings.half();
    }

    Evidence write(long now, int rank, long life, int boot, boolean found, long half) {
        fade(now, half);
        written =
                new Evidence(
                        rank,
                        life,
                        ++seq & 0xffff,
                        boot,
                        found ? 0 : (int) Math.min(255, Math.ceil(good)),
                        found ? (int) Math.min(255, Math.ceil(Math.max(1, bad))) : 0,
                        found ? kinds : 0);
        writtenAt = now;
        return written;
    }
}
