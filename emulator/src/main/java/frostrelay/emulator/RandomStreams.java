package frostrelay.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Creates an independent random generator for each component of a run: additional draws in one do
 * not affect the others.
 */
final class RandomStreams {
    private static final long MIX = 0x9E3779B97F4A7C15L;

    private RandomStreams() {}

    static UniformRandomProvider create(long seed, String streamName) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed * MIX + streamName.hashCode());
    }
}
