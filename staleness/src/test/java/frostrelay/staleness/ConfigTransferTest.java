package frostrelay.staleness;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Tests that no loss, duplication, delay or forgery of pieces causes wrong content to be accepted.
 */
class ConfigTransferTest {
    private static final long DIGEST = 77;

    /** Length of the digest, the index of the piece and the number of pieces. */
    private static final int PIECE_HEADER_BYTES = Long.BYTES + 2 * Short.BYTES;

    private record PieceRequest(int holder, int piece) {}

    /**
     * Holder 0 does not answer, holder 1 sends wrong content, the others send the expected content.
     *
     * @param lossPercent percentage of the pieces that are lost
     */
    @Property(tries = 200)
    void transferCompletesDespiteLossAndFaultyHolders(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 5_000) int length,
            @ForAll @IntRange(min = 0, max = 40) int lossPercent) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] expectedContent = new byte[length];
        random.nextBytes(expectedContent);
        byte[] wrongContent = expectedContent.clone();
        wrongContent[random.nextInt(length)] ^= 1;
        List<PieceRequest> pieceRequests = new ArrayList<>();
        List<byte[]> acceptedContents = new ArrayList<>();
        ConfigTransfer transfer =
                new ConfigTransfer(
                        seed,
                        new ConfigTransfer.Actions() {
                            @Override
                            public void requestPiece(int holder, long digest, int piece) {
                                pieceRequests.add(new PieceRequest(holder, piece));
                            }

                            @Override
                            public boolean applyContent(long digest, byte[] packed) {
                                if (Arrays.equals(packed, expectedContent)) {
                                    acceptedContents.add(packed);
                                }
                                return Arrays.equals(packed, expectedContent);
                            }
                        });
        long now = 0;
        int maxOpenRequests = 0;
        for (int round = 0; acceptedContents.isEmpty() && round < 60; round++) {
            transfer.fetch(now, DIGEST, List.of(0, 1, 2, 3));
            for (int step = 0; acceptedContents.isEmpty() && step < 100; step++) {
                List<PieceRequest> openRequests = List.copyOf(pieceRequests);
                maxOpenRequests = Math.max(maxOpenRequests, openRequests.size());
                pieceRequests.clear();
                for (PieceRequest request : openRequests) {
                    ByteBuffer piece =
                            StalenessCodec.encodePiece(
                                    DIGEST,
                                    request.piece,
                                    request.holder == 1 ? wrongContent : expectedContent);
                    boolean isLost = request.holder == 0 || random.nextInt(100) < lossPercent;
                    int duplicates = random.nextInt(2);
                    if (piece != null) {
                        int copies = isLost ? 0 : 1 + duplicates;
                        deliver(transfer, now, request, piece, copies);
                    }
                }
                now = nextTimeNanos(now, transfer, pieceRequests.isEmpty());
                transfer.onTimer(now);
            }
        }
        assertEquals(
                1,
                acceptedContents.size(),
                "accepted contents with " + lossPercent + "% of the pieces lost");
        assertArrayEquals(expectedContent, acceptedContents.get(0));
        assertTrue(maxOpenRequests <= 6, "requests open at the same time: " + maxOpenRequests);
        assertEquals(
                Long.MAX_VALUE, transfer.nextTimerAtNanos(), "no timer is set after completion");
        assertNull(StalenessCodec.encodePiece(DIGEST, 600, expectedContent));
    }

    /**
     * Delivers copies of a piece, each followed by a forged piece and a piece with invalid count.
     */
    private static void deliver(
            ConfigTransfer transfer, long now, PieceRequest request, ByteBuffer piece, int copies) {
        for (int copy = 0; copy < copies; copy++) {
            ByteBuffer in = piece.duplicate();
            byte[] content = new byte[in.remaining() - PIECE_HEADER_BYTES];
            transfer.onPiece(
                    now,
                    request.holder,
                    in.getLong(),
                    in.getShort(),
                    in.getShort(),
                    in.get(content) == null ? null : content);
            transfer.onPiece(now, 3 - request.holder, DIGEST, 0, 9, new byte[3]);
            transfer.onPiece(now, request.holder, DIGEST, 600, 700, new byte[3]);
        }
    }

    private static long nextTimeNanos(long now, ConfigTransfer transfer, boolean isIdle) {
        long timerNanos = isIdle ? Math.min(transfer.nextTimerAtNanos(), now + 10_000_000_000L) : 0;
        return Math.max(now + 1_000_000, timerNanos);
    }
}
