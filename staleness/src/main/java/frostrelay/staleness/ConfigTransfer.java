package frostrelay.staleness;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A transfer of the content of a configuration from a peer that applies it, in pieces that fit into
 * a datagram. The content is accepted only if its digest is the requested one. Pieces are fetched
 * from one holder at a time; a holder that does not answer, or whose content has another digest, is
 * replaced by another one. Pieces, open requests and time are bounded. Event-driven; not
 * thread-safe.
 */
public final class ConfigTransfer {
    /** Actions of the transfer, executed by its owner. */
    public interface Actions {
        /** Requests one piece; the transfer repeats the request if there is no answer. */
        void requestPiece(int holder, long digest, int piece);

        /**
         * Applies the content after all pieces were received.
         *
         * @param packed the content as the holder sent it
         * @return whether the digest matched and the content was accepted
         */
        boolean applyContent(long digest, byte[] packed);
    }

    /** Length of a piece, which fits with its header into a datagram of 256 bytes. */
    public static final int PIECE_BYTES = 200;

    /** Bounds the memory; packed configurations of this platform have at most 100 KB. */
    public static final int MAX_PIECES = 512;

    private static final long NEVER_NANOS = Long.MAX_VALUE;
    private static final int MAX_OPEN_REQUESTS = 3;

    /** The longest round trip, 60 ms, plus delay for a holder that reached its bandwidth limit. */
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

    /**
     * Creates an idle transfer.
     *
     * @param seed of the random choice of a holder
     */
    public ConfigTransfer(long seed, Actions actions) {
        this.actions = actions;
        random = new SplittableRandom(seed);
    }

    /** Fetches a configuration from a peer that applies it; an empty list stops fetching. */
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
            // All holders were tried; holders that were unreachable may be reachable by now.
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

    /** Handles a received piece, whose sender and content are not trusted. */
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

    /** Returns the time at which {@link #onTimer} is to be called next. */
    public long nextTimerAtNanos() {
        return nextTimerAtNanos;
    }

    /** Repeats requests; to be called at {@link #nextTimerAtNanos} or shortly after. */
    public void onTimer(long now) {
        if (now < nextTimerAtNanos || holder < 0) {
            return;
        }
        if (++timeoutCount >= MAX_TIMEOUTS) {
            // The holder may be unreachable. After all holders failed, the next fetch retries them.
            rejectedHolders.add(holder);
            chooseHolder(now);
        } else {
            requestMissingPieces(now);
        }
    }

    /** Returns the number of contents that were accepted. */
    public long acceptedCount() {
        return acceptedCount;
    }

    /** Returns the number of contents that had another digest or were invalid configurations. */
    public long rejectedCount() {
        return rejectedCount;
    }
}
