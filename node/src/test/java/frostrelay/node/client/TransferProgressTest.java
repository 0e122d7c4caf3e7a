package frostrelay.node.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.time.Clock;

import org.junit.jupiter.api.Test;

/** An end of a transfer is judged by its pace, whatever the size of its pieces. */
class TransferProgressTest {
    private final TransferProgress progress = new TransferProgress(0);
    private long now;

    private void move(int seconds, int bytesPerPiece, long pieceNanos) {
        long untilNanos = now + seconds * Clock.NANOS_PER_SECOND;
        while (now < untilNanos) {
            now += pieceNanos;
            progress.onBytes(now, bytesPerPiece);
        }
    }

    @Test
    void anEvenEndIsOnPaceWithPiecesOfAnySize() {
        move(20, 10, Clock.NANOS_PER_MILLISECOND);
        assertEquals(0, progress.behindNanos(now));
        move(20, 65_536, Clock.NANOS_PER_SECOND);
        assertEquals(0, progress.behindNanos(now));
        assertEquals(Clock.NANOS_PER_SECOND, progress.silentNanos(now + Clock.NANOS_PER_SECOND));
    }

    /** Guards against a byte now and then that keeps memory, or a process that ends. */
    @Test
    void aByteASecondFallsBehindThoughItIsNotSilent() {
        move(20, 1, Clock.NANOS_PER_SECOND);
        assertTrue(progress.behindNanos(now) > 19 * Clock.NANOS_PER_SECOND);
        assertEquals(0, progress.silentNanos(now));
        progress.start(now);
        assertEquals(0, progress.behindNanos(now));
    }
}
