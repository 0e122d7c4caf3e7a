package frostrelay.gossip;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import java.util.List;
import java.util.SplittableRandom;

class BandwidthLimiterTest {
    /** Checks every one-second window that starts at a send. */
    @Property(tries = 300)
    void noOneSecondWindowExceedsTheLimit(
            @ForAll @Size(max = 200) List<@IntRange(min = 1, max = 256) Integer> sizes,
            @ForAll @IntRange(min = 256, max = 4_096) int maxBytes,
            @ForAll long seed) {
        BandwidthLimiter limiter = new BandwidthLimiter(maxBytes);
        SplittableRandom random = new SplittableRandom(seed);
        long[] sentAtNanos = new long[sizes.size()];
        boolean[] sent = new boolean[sizes.size()];
        long now = 0;
        for (int i = 0; i < sizes.size(); i++) {
            now += random.nextLong(random.nextBoolean() ? 1_000_000 : 300_000_000);
            sentAtNanos[i] = now;
            sent[i] = limiter.tryConsume(now, sizes.get(i));
        }
        for (int from = 0; from < sizes.size(); from++) {
            int sum = 0;
            for (int i = from;
                    i < sizes.size()
                            && sentAtNanos[i] - sentAtNanos[from]
                                    < GossipTestNetwork.NANOS_PER_SECOND;
                    i++) {
                sum += sent[i] ? sizes.get(i) : 0;
            }
            assertTrue(sum <= maxBytes, sum + " of " + maxBytes);
        }
    }
}
