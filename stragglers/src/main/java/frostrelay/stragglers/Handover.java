package frostrelay.stragglers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Fetches the content of a configuration from one that acts on it, in pieces that fit a datagram,
 * and gives it out only if its digest is that which was asked for. One holder at a time; a holder
 * that is silent or whose content is another's gives way to the next. Bounded in pieces, in what is
 * open at once and in time. Decides by events alone; for one thread.
 */
public final class Handover {
    /** What comes of it. */
    public interface Actions {
        /** One piece is to be asked for; a lost call is made again. */
        void want(int holder, long digest, int piece);

        /**
         * All pieces are there: {@code packed} is as the holder gave it. True if its digest is the
         * right one and it was taken.
         */
        boolean take(long digest, byte[] packed);
    }

    /** Bytes of a piece: with its head it fits a datagram of 256. */
    public static final int PIECE = 200;

    /**
     * A configuration of more than 100 KB packed is none of this platform's; the room is bounded by
     * it.
     */
    public static final int MOST_PIECES = 512;

    private static final long NEVER = Long.MAX_VALUE;
    private static final int OPEN = 3;

    /** Way and back at their slowest, 60 ms, and a giver that waits for room below its ceiling. */
    private static final long AGAIN = 700_000_000L;

    private static final int MOST_SILENT = 6;

    private final Actions actions;
    private final SplittableRandom random;
    private final Set<Integer> refused = new HashSet<>();
    private long digest;
    private List<Integer> holders = List.of();
    private int holder = -1;
    private byte[][] pieces;
    private final long[] askedAt = new long[MOST_PIECES];
    private int silent;
    private long nextAt = NEVER;
    private long taken;
    private long wrong;

    /** {@code seed}: of the choice among holders. */
    public Handover(long seed, Actions actions) {
        this.actions = actions;
        random = new SplittableRandom(seed);
    }

    /** This content is wanted, and these act on it; an empty list ends what is under way. */
    public void onWanted(long now, long wanted, List<Integer> from) {
        if (from.isEmpty()) {
            stop();
            digest = 0;
            return;
        }
        if (wanted != digest) {
            stop();
            refused.clear();
            digest = wanted;
        }
        holders = List.copyOf(from);
        if (holder < 0 && refused.containsAll(holders)) {
            // All have been tried: what was lost or away then may be there now.
            refused.clear();
        }
        if (holder < 0 && nextAt == NEVER) {
            choose(now);
        }
    }

    private void stop() {
        holder = -1;
        pieces = null;
        nextAt = NEVER;
        silent = 0;
    }

    private void choose(long now) {
        stop();
        List<Integer> left = new ArrayList<>(holders);
        left.removeAll(refused);
        if (left.isEmpty()) {
            return;
        }
        holder = left.get(random.nextInt(left.size()));
        Arrays.fill(askedAt, 0, MOST_PIECES, Long.MIN_VALUE);
        ask(now);
    }

    private void ask(long now) {
        int open = 0;
        int most = pieces == null ? 1 : pieces.length;
        nextAt = now + AGAIN;
        for (int i = 0; i < most && open < OPEN; i++) {
            if (pieces != null && pieces[i] != null) {
                continue;
            }
            open++;
            if (askedAt[i] == Long.MIN_VALUE || now - askedAt[i] >= AGAIN) {
                askedAt[i] = now;
                actions.want(holder, digest, i);
            }
        }
    }

    /** A piece came; whatever it claims. */
    public void onPiece(long now, int from, long of, int piece, int count, byte[] content) {
        if (from != holder
                || of != digest
                || count < 1
                || count > MOST_PIECES
                || piece < 0
                || piece >= count
                || content.length > PIECE
                || pieces != null && pieces.length != count) {
            return;
        }
        if (pieces == null) {
            pieces = new byte[count][];
        }
        pieces[piece] = pieces[piece] == null ? content : pieces[piece];
        silent = 0;
        for (byte[] one : pieces) {
            if (one == null) {
                ask(now);
                return;
            }
        }
        finish(now);
    }

    private void finish(long now) {
        int length = 0;
        for (byte[] one : pieces) {
            length += one.length;
        }
        byte[] all = new byte[length];
        int at = 0;
        for (byte[] one : pieces) {
            System.arraycopy(one, 0, all, at, one.length);
            at += one.length;
        }
        if (actions.take(digest, all)) {
            taken++;
            stop();
            holders = List.of();
        } else {
            wrong++;
            refused.add(holder);
            choose(now);
        }
    }

    /** When {@link #onWake} is to be called next. */
    public long next() {
        return nextAt;
    }

    /** To be called at {@link #next}, or a little later. */
    public void onWake(long now) {
        if (now < nextAt || holder < 0) {
            return;
        }
        if (++silent >= MOST_SILENT) {
            // It may be away; another may have it. Once all have been tried it is begun anew when
            // it is wanted again.
            refused.add(holder);
            choose(now);
        } else {
            ask(now);
        }
    }

    /** Contents that were taken. */
    public long taken() {
        return taken;
    }

    /** Contents whose digest was another's, or that were no configuration. */
    public long wrong() {
        return wrong;
    }
}
