package frostrelay.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/** How long messages take on their way, and which never come. Machines stand in zones. */
final class Wire {
    private final Plant.Network spec;
    private final UniformRandomProvider random;
    private final boolean[] cut;
    private double answersLost;
    private double resets;

    Wire(Plant.Network spec, int zones, long seed) {
        this.spec = spec;
        this.random = Randoms.of(seed, "network");
        this.cut = new boolean[zones];
    }

    /** One way within a zone. */
    long delay() {
        return spec.delay()
                + (spec.jitter() == 0 ? 0 : (long) (random.nextDouble() * spec.jitter()));
    }

    /** One way from one zone to another. */
    long delay(int from, int to) {
        return delay() + (from == to ? 0 : spec.far());
    }

    boolean loses() {
        return spec.loss() > 0 && random.nextDouble() < spec.loss();
    }

    /** Whether an answer is lost on its way. */
    boolean losesAnswer() {
        return answersLost > 0 && random.nextDouble() < answersLost;
    }

    /** Whether a connection is reset under a request. */
    boolean resets() {
        return resets > 0 && random.nextDouble() < resets;
    }

    /** From now on this part of answers is lost. */
    void loseAnswers(double part) {
        answersLost = part;
    }

    /** From now on this part of requests has its connection reset. */
    void reset(double part) {
        resets = part;
    }

    /** Whether anything passes between two zones. */
    boolean passes(int from, int to) {
        return from == to || !cut[from] && !cut[to];
    }

    /** Nothing passes between a zone and the others, or everything again. */
    void cut(int zone, boolean on) {
        cut[zone] = on;
    }
}
