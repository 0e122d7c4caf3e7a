package frostrelay.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/** How long messages take on their way, and which never come. Machines stand in zones. */
final class NetworkDelays {
    private final SystemModel.Network spec;
    private final UniformRandomProvider random;
    private final boolean[] isPartitioned;
    private double responseLossFraction;
    private double resetFraction;

    NetworkDelays(SystemModel.Network spec, int zones, long seed) {
        this.spec = spec;
        this.random = RandomStreams.create(seed, "network");
        this.isPartitioned = new boolean[zones];
    }

    /** One way within a zone. */
    long sampleDelayNanos() {
        return spec.delayNanos()
                + (spec.jitterNanos() == 0 ? 0 : (long) (random.nextDouble() * spec.jitterNanos()));
    }

    /** One way from one zone to another. */
    long sampleDelayNanos(int from, int to) {
        return sampleDelayNanos() + (from == to ? 0 : spec.crossZoneDelayNanos());
    }

    boolean isMessageLost() {
        return spec.lossFraction() > 0 && random.nextDouble() < spec.lossFraction();
    }

    /** Whether an answer is lost on its way. */
    boolean isResponseLost() {
        return responseLossFraction > 0 && random.nextDouble() < responseLossFraction;
    }

    /** Whether a connection is reset under a request. */
    boolean isConnectionReset() {
        return resetFraction > 0 && random.nextDouble() < resetFraction;
    }

    /** From now on this part of answers is lost. */
    void setResponseLoss(double fraction) {
        responseLossFraction = fraction;
    }

    /** From now on this part of requests has its connection reset. */
    void setResetFraction(double fraction) {
        resetFraction = fraction;
    }

    /** Whether anything passes between two zones. */
    boolean isConnected(int from, int to) {
        return from == to || !isPartitioned[from] && !isPartitioned[to];
    }

    /** Nothing passes between a zone and the others, or everything again. */
    void setPartitioned(int zone, boolean partitioned) {
        isPartitioned[zone] = partitioned;
    }
}
