package frostrelay.stragglers;

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

/** A content comes whole or not at all, whatever is lost, doubled, late or somebody else's. */
class HandoverTest {
    private static final long DIGEST = 77;

    private record Call(int holder, int piece) {}

    /**
     * {@code loss}: of a hundred pieces; holder 0 is silent, holder 1 gives other content, the
     * others give the right one.
     */
    @Property(tries = 200)
    void theRightContentComesWholeFromWhoHasIt(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 5_000) int length,
            @ForAll @IntRange(min = 0, max = 40) int loss) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] right = new byte[length];
        random.nextBytes(right);
        byte[] other = right.clone();
        other[random.nextInt(length)] ^= 1;
        List<Call> calls = new ArrayList<>();
        List<byte[]> taken = new ArrayList<>();
        Handover one =
                new Handover(
                        seed,
                        new Handover.Actions() {
                            @Override
                            public void want(int holder, long digest, int piece) {
                                calls.add(new Call(holder, piece));
                            }

                            @Override
                            public boolean take(long digest, byte[] packed) {
                                if (Arrays.equals(packed, right)) {
                                    taken.add(packed);
                                }
                                return Arrays.equals(packed, right);
                            }
                        });
        long now = 0;
        int most = 0;
        for (int round = 0; taken.isEmpty() && round < 60; round++) {
            one.onWanted(now, DIGEST, List.of(0, 1, 2, 3));
            for (int step = 0; taken.isEmpty() && step < 100; step++) {
                List<Call> open = List.copyOf(calls);
                most = Math.max(most, open.size());
                calls.clear();
                for (Call call : open) {
                    ByteBuffer piece =
                            Words.piece(DIGEST, call.piece, call.holder == 1 ? other : right);
                    boolean lost = call.holder == 0 || random.nextInt(100) < loss;
                    for (int copies = random.nextInt(2);
                            piece != null && !lost && copies >= 0;
                            copies--) {
                        ByteBuffer in = piece.duplicate();
                        byte[] content = new byte[in.remaining() - 12];
                        one.onPiece(
                                now,
                                call.holder,
                                in.getLong(),
                                in.getShort(),
                                in.getShort(),
                                in.get(content) == null ? null : content);
                        // Somebody else's piece, and one that cannot be.
                        one.onPiece(now, 3 - call.holder, DIGEST, 0, 9, new byte[3]);
                        one.onPiece(now, call.holder, DIGEST, 600, 700, new byte[3]);
                    }
                }
                now =
                        Math.max(
                                now + 1_000_000,
                                calls.isEmpty() ? Math.min(one.next(), now + 10_000_000_000L) : 0);
                one.onWake(now);
            }
        }
        assertEquals(1, taken.size(), "asked in turn, with " + loss + " of 100 lost");
        assertArrayEquals(right, taken.get(0));
        assertTrue(most <= 6, "open at once: " + most);
        assertEquals(Long.MAX_VALUE, one.next(), "nothing is under way any more");
        assertNull(Words.piece(DIGEST, 600, right));
    }
}
