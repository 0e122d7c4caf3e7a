package frostrelay.rig.fleet;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sees when the stand-ins' own event loops stand still, as on a busy machine: what they read then
 * came earlier, and how long it took on its way cannot be told. Safe for threads.
 */
final class LoopMonitor {
    private static final long BEAT_MS = 20;
    private static final long MOST_BEHIND = 80_000_000L;

    /** What was held up on one loop may reach another one so much later. */
    private static final long AFTERMATH = 500_000_000L;

    private final List<AtomicLong> beats = new ArrayList<>();
    private final AtomicLong longest = new AtomicLong();
    private final AtomicLong stalledAt = new AtomicLong(System.nanoTime() - AFTERMATH);

    LoopMonitor(EventLoopGroup group) {
        for (EventExecutor executor : group) {
            AtomicLong beat = new AtomicLong(System.nanoTime());
            beats.add(beat);
            ((EventLoop) executor)
                    .scheduleAtFixedRate(() -> beat(beat), BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void beat(AtomicLong beat) {
        long now = System.nanoTime();
        long gap = now - beat.getAndSet(now);
        if (gap > MOST_BEHIND) {
            stalledAt.set(now);
            longest.accumulateAndGet(gap, Math::max);
        }
    }

    /** The longest stand still so far, in nanoseconds; 0 for none. */
    long longest() {
        return longest.get();
    }

    /** Whether some loop stands still now, or did so shortly before. */
    boolean isBehind(long now) {
        return now - stalledAt.get() < AFTERMATH
                || beats.stream().anyMatch(beat -> now - beat.get() > MOST_BEHIND);
    }
}
