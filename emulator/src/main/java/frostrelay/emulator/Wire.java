package frostrelay.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/** How long messages take on their way, and which never come. */
final class Wire {
    private final Plant.Network spec;
    private final UniformRandomProvider random;

    Wire(Plant.Network spec, long seed) {
        this.spec = spec;
        this.random = Randoms.of(seed, "network");
    }

    long delay() {
        return spec.delay() + (spec.jitter() == 0 ? 0 : (long) (random.nextDouble() * spec.jitter()));
    }

    boolean loses() {
        return spec.loss() > 0 && random.nextDouble() < spec.loss();
    }
}
