package frostrelay.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/** A model of message delay and loss between machines in zones. */
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

    /** Samples a one-way delay within a zone. */
    long sampleDelayNanos() {
        return spec.delayNanos()
                + (spec.jitterNanos() == 0 ? 0 : (long) (random.nextDouble() * spec.jitterNanos()));
    }

    /** Samples a one-way delay from one zone to another. */
    long sampleDelayNanos(int from, int to) {
        return sampleDelayNanos() + (from == to ? 0 : spec.crossZoneDelayNanos());
    }

    boolean isMessageLost() {
        return spec.lossFraction() > 0 && random.nextDouble() < spec.lossFraction();
    }

    /** Samples whether a response is lost. */
    boolean isResponseLost() {
        return responseLossFraction > 0 && random.nextDouble() < responseLossFraction;
    }

    /** Samples whether the connection of a request is reset. */
    boolean isConnectionReset() {
        return resetFraction > 0 && random.nextDouble() < resetFraction;
    }

    /** Sets the fraction of responses that are lost. */
    void setResponseLoss(double fraction) {
        responseLossFraction = fraction;
    }

    /** Sets the fraction of requests whose connection is reset. */
    void setResetFraction(double fraction) {
        resetFraction = fraction;
    }

    /** Returns whether messages pass between two zones. */
    boolean isConnected(int from, int to) {
        return from == to || !isPartitioned[from] && !isPartitioned[to];
    }

    /** Starts or ends the partition of a zone from all others. */
    void setPartitioned(int zone, boolean partitioned) {
        isPartitioned[zone] = partitioned;
    }
}
