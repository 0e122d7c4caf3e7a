package frostrelay.policy;

/** Reproducible random numbers (SplitMix64): the same seed gives the same sequence. */
final class SeededRandom {
    /** Increment of SplitMix64: 2 to the 64th, divided by the golden ratio. */
    static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

    private static final double UNIT_OF_53_BITS = 0x1.0p-53;

    private long state;

    SeededRandom(long seed) {
        this.state = seed;
    }

    /** Returns a random number in [0, 1). */
    double nextUniform() {
        state += GOLDEN_GAMMA;
        return (mix(state) >>> 11) * UNIT_OF_53_BITS;
    }

    /** Applies the 64-bit finalizer of SplitMix64; every input bit affects the whole output. */
    static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
