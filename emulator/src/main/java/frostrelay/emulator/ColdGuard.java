package frostrelay.emulator;

/**
 * Watches what one cold cache is sent: more than a multiple of what it can do, over a while, pushes
 * it over.
 */
final class ColdGuard {
    static final double TIP_MULTIPLE = 4;
    static final long FALL_TIME = 1_000_000_000L;

    private final SimReferee referee;
    private final Plant.Cache spec;
    private final double meanWork;
    private long from;
    private double room;
    private double sent;

    ColdGuard(SimReferee referee, Plant.Cache spec, double meanWork) {
        this.referee = referee;
        this.spec = spec;
        this.meanWork = meanWork;
    }

    /** Something arrives while the cache runs at this part of its full speed. */
    void arrived(long now, double speed) {
        if (now - from >= FALL_TIME) {
            if (sent > TIP_MULTIPLE * room) {
                referee.broken(SimReferee.Rule.COLD_PUSHED_OVER);
            }
            from = now;
            room = 0;
            sent = 0;
        }
        // The mean of what it can do over the window; a window with few arrivals is no push.
        sent++;
        double can = spec.cores() * speed * FALL_TIME / meanWork;
        room += (Math.max(1, can) - room) / sent;
    }
}
