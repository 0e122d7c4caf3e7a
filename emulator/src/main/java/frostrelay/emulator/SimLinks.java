package frostrelay.emulator;

import java.util.List;

/**
 * One balancer's connections to caches: counted for each cache, not held one by one. Idle ones are
 * closed a while before the cache would; those to a process that died are gone with it.
 */
final class SimLinks {
    /** Part of the caches' idle time after which the real balancer gives a connection up. */
    private static final double IDLE_PART = 0.6;

    private final Plant.Links spec;
    private final List<SimCache> caches;
    private final int[] open;
    private final int[] idle;
    private final int[] life;
    private final long[] usedAt;
    private int total;
    private long handshakes;

    SimLinks(Plant.Links spec, List<SimCache> caches) {
        this.spec = spec;
        this.caches = caches;
        open = new int[caches.size()];
        idle = new int[caches.size()];
        life = new int[caches.size()];
        usedAt = new long[caches.size()];
    }

    /** Forgets what a cache has closed or what died with it. */
    private void look(long now, int place) {
        if (life[place] != caches.get(place).life()) {
            life[place] = caches.get(place).life();
            total -= open[place];
            open[place] = 0;
            idle[place] = 0;
        } else if (idle[place] > 0 && now - usedAt[place] > spec.idle() * IDLE_PART) {
            closeIdle(place);
        }
    }

    /** Takes an idle connection; false if there is none. */
    boolean take(long now, int place) {
        look(now, place);
        if (idle[place] == 0) {
            return false;
        }
        idle[place]--;
        usedAt[place] = now;
        return true;
    }

    /** Makes room for one more; false if all are in use. */
    boolean room(long now) {
        for (int place = 0; total >= spec.atBalancer() && place < open.length; place++) {
            look(now, place);
        }
        if (total < spec.atBalancer()) {
            return true;
        }
        int coldest = -1;
        for (int place = 0; place < open.length; place++) {
            if (idle[place] > 0 && (coldest < 0 || usedAt[place] < usedAt[coldest])) {
                coldest = place;
            }
        }
        if (coldest >= 0) {
            close(coldest, life[coldest]);
            idle[coldest]--;
        }
        return coldest >= 0;
    }

    /** A handshake begins. */
    void begin() {
        handshakes++;
        total++;
    }

    /** It came to nothing. */
    void failed() {
        total--;
    }

    /** It is up and in use; {@code total} has it already. */
    void up(long now, int place) {
        look(now, place);
        open[place]++;
        usedAt[place] = now;
    }

    /** In whose life at the cache a connection that is taken now stands. */
    int life(int place) {
        return life[place];
    }

    /** One in use is free again, unless the process that it led to is gone. */
    void free(long now, int place, int since) {
        look(now, place);
        if (since == life[place]) {
            idle[place]++;
            usedAt[place] = now;
        }
    }

    /** One in use, or an idle one that the caller takes off, is closed. */
    void close(int place, int since) {
        if (since == life[place] && open[place] > 0) {
            open[place]--;
            total--;
            caches.get(place).unlink(since);
        }
    }

    void closeIdle(int place) {
        for (; idle[place] > 0; idle[place]--) {
            close(place, life[place]);
        }
    }

    /** The process that held them is gone. */
    void closeAll() {
        for (int place = 0; place < open.length; place++) {
            for (int left = open[place]; left > 0; left--) {
                close(place, life[place]);
            }
            idle[place] = 0;
        }
        total = 0;
    }

    /** To one cache, in use or idle. */
    int open(long now, int place) {
        look(now, place);
        return open[place];
    }

    /** All, those that come up included. */
    int total() {
        return total;
    }

    long handshakes() {
        return handshakes;
    }
}
