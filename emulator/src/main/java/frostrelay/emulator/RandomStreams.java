package frostrelay.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generators for a day's parts, each with a stream of its own: one part that draws more does not
 * move the others.
 */
final class RandomStreams {
    private static final long MIX = 0x9E3779B97F4A7C15L;

    private RandomStreams() {}

    static UniformRandomProvider create(long seed, String streamName) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed * MIX + streamName.hashCode());
    }
}
