package frostrelay.staleness;

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
public final class ConfigTransfer {
    /** What comes of it. */
    public interface Actions {
        /** One piece is to be asked for; a lost call is made again. */
        void requestPiece(int holder, long digest, int piece);

        /**
         * All pieces are there: {@code packed} is as the holder gave it. True if its digest is the
         * right one and it was taken.
         */
        boolean applyContent(long digest, byte[] packed);
    }

    /** Bytes of a piece: with its head it fits a datagram of 256. */
    public static final int PIECE_BYTES = 200;

    /**
     * A configuration of more than 100 KB packed is none of this platform's; the room is bounded by
     * it.
     */
    public static final int MAX_PIECES = 512;

    private static final long NEVER_NANOS = Long.MAX_VALUE;
    private static final int MAX_OPEN_REQUESTS = 3;

    /** Way and back at their slowest, 60 ms, and a giver that waits for room below its ceiling. */
    private static final long RETRY_INTERVAL_NANOS = 700_000_000L;

    private static final int MAX_TIMEOUTS = 6;

    private final Actions actions;
    private final SplittableRandom random;
    private final Set<Integer> rejectedHolders = new HashSet<>();
    private long digest;
    private List<Integer> holders = List.of();
    private int holder = -1;
    private byte[][] pieces;
    private final long[] requestedAtNanos = new long[MAX_PIECES];
    private int timeoutCount;
    private long nextTimerAtNanos = NEVER_NANOS;
    private long acceptedCount;
    private long rejectedCount;

    /** {@code seed}: of the choice among holders. */
    public ConfigTransfer(long seed, Actions actions) {
        this.actions = actions;
        random = new SplittableRandom(seed);
    }

    /** This content is wanted, and these act on it; an empty list ends what is under way. */
    public void fetch(long now, long wantedDigest, List<Integer> availableHolders) {
        if (availableHolders.isEmpty()) {
            stop();
            digest = 0;
            return;
        }
        if (wantedDigest != digest) {
            stop();
            rejectedHolders.clear();
            digest = wantedDigest;
        }
        holders = List.copyOf(availableHolders);
        if (holder < 0 && rejectedHolders.containsAll(holders)) {
            // All have been tried: what was lost or away then may be there now.
            rejectedHolders.clear();
        }
        if (holder < 0 && nextTimerAtNanos == NEVER_NANOS) {
            chooseHolder(now);
        }
    }

    private void stop() {
        holder = -1;
        pieces = null;
        nextTimerAtNanos = NEVER_NANOS;
        timeoutCount = 0;
    }

    private void chooseHolder(long now) {
        stop();
        List<Integer> candidates = new ArrayList<>(holders);
        candidates.removeAll(rejectedHolders);
        if (candidates.isEmpty()) {
            return;
        }
        holder = candidates.get(random.nextInt(candidates.size()));
        Arrays.fill(requestedAtNanos, 0, MAX_PIECES, Long.MIN_VALUE);
        requestMissingPieces(now);
    }

    private void requestMissingPieces(long now) {
        int openRequests = 0;
        int pieceCount = pieces == null ? 1 : pieces.length;
        nextTimerAtNanos = now + RETRY_INTERVAL_NANOS;
        for (int i = 0; i < pieceCount && openRequests < MAX_OPEN_REQUESTS; i++) {
            if (pieces != null && pieces[i] != null) {
                continue;
            }
            openRequests++;
            if (requestedAtNanos[i] == Long.MIN_VALUE
                    || now - requestedAtNanos[i] >= RETRY_INTERVAL_NANOS) {
                requestedAtNanos[i] = now;
                actions.requestPiece(holder, digest, i);
            }
        }
    }

    /** A piece came; whatever it claims. */
    public void onPiece(
            long now, int from, long contentDigest, int piece, int count, byte[] content) {
        if (from != holder
                || contentDigest != digest
                || count < 1
                || count > MAX_PIECES
                || piece < 0
                || piece >= count
                || content.length > PIECE_BYTES
                || pieces != null && pieces.length != count) {
            return;
        }
        if (pieces == null) {
            pieces = new byte[count][];
        }
        pieces[piece] = pieces[piece] == null ? content : pieces[piece];
        timeoutCount = 0;
        for (byte[] existing : pieces) {
            if (existing == null) {
                requestMissingPieces(now);
                return;
            }
        }
        finish(now);
    }

    private void finish(long now) {
        int length = 0;
        for (byte[] part : pieces) {
            length += part.length;
        }
        byte[] packed = new byte[length];
        int offset = 0;
        for (byte[] part : pieces) {
            System.arraycopy(part, 0, packed, offset, part.length);
            offset += part.length;
        }
        if (actions.applyContent(digest, packed)) {
            acceptedCount++;
            stop();
            holders = List.of();
        } else {
            rejectedCount++;
            rejectedHolders.add(holder);
            chooseHolder(now);
        }
    }

    /** When {@link #onTimer} is to be called next. */
    public long nextTimerAtNanos() {
        return nextTimerAtNanos;
    }

    /** To be called at {@link #nextTimerAtNanos}, or a little later. */
    public void onTimer(long now) {
        if (now < nextTimerAtNanos || holder < 0) {
            return;
        }
        if (++timeoutCount >= MAX_TIMEOUTS) {
            // It may be away; another may have it. Once all have been tried it is begun anew when
            // it is wanted again.
            rejectedHolders.add(holder);
            chooseHolder(now);
        } else {
            requestMissingPieces(now);
        }
    }

    /** Contents that were taken. */
    public long acceptedCount() {
        return acceptedCount;
    }

    /** Contents whose digest was another's, or that were no configuration. */
    public long rejectedCount() {
        return rejectedCount;
    }
}
