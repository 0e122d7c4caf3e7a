package frostrelay.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

import java.util.Arrays;
import java.util.List;

/**
 * A simple front end that distributes clients over the balancers of their zone; some balancers
 * receive several times the mean.
 */
final class SimFrontend {
    private final List<SimBalancer> balancers;
    private final int zoneCount;
    private final boolean isUniform;

    /** Cumulative weights by balancer index, for each zone. */
    private final double[][] cumulativeWeights;

    private int crowdedZone = -1;
    private double shiftedFraction;

    SimFrontend(SystemModel model, List<SimBalancer> balancers) {
        this.balancers = balancers;
        this.zoneCount = model.zoneCount();
        isUniform = zoneCount == 1 && model.clients().balancerSkew() == 0;
        cumulativeWeights = new double[zoneCount][balancers.size()];
        ZigguratSampler.NormalizedGaussian gaussianSampler =
                ZigguratSampler.NormalizedGaussian.of(RandomStreams.create(model.seed(), "front"));
        double[] weights =
                balancers.stream()
                        .mapToDouble(
                                balancer ->
                                        Math.exp(
                                                model.clients().balancerSkew()
                                                        * gaussianSampler.sample()))
                        .toArray();
        for (int zone = 0; zone < zoneCount; zone++) {
            double sum = 0;
            for (int i = 0; i < weights.length; i++) {
                sum += balancers.get(i).zone() == zone ? weights[i] : 0;
                cumulativeWeights[zone][i] = sum;
            }
        }
    }

    /** Directs this fraction of all clients to one zone, in addition to its own clients. */
    void shiftTraffic(int zone, double fraction) {
        crowdedZone = zone;
        shiftedFraction = fraction;
    }

    /**
     * Chooses the balancer for a client's next attempt; an unavailable one only if all are
     * unavailable.
     */
    SimBalancer choose(UniformRandomProvider random) {
        int startIndex = isUniform ? random.nextInt(balancers.size()) : chooseWeighted(random);
        SimBalancer preferred = balancers.get(startIndex);
        SimBalancer fallback = preferred;
        for (int i = 0; i < balancers.size(); i++) {
            SimBalancer balancer = balancers.get((startIndex + i) % balancers.size());
            if (!balancer.isUnavailable() && balancer.zone() == preferred.zone()) {
                return balancer;
            }
            fallback = fallback.isUnavailable() ? balancer : fallback;
        }
        return fallback;
    }

    private int chooseWeighted(UniformRandomProvider random) {
        int zone =
                shiftedFraction > 0 && random.nextDouble() < shiftedFraction
                        ? crowdedZone
                        : random.nextInt(zoneCount);
        double[] zoneWeights = cumulativeWeights[zone];
        int found =
                Arrays.binarySearch(
                        zoneWeights, random.nextDouble() * zoneWeights[zoneWeights.length - 1]);
        // The sum does not grow at balancers of other zones, so the first index above the draw
        // belongs to this zone.
        return Math.min(zoneWeights.length - 1, found < 0 ? -found - 1 : found);
    }
}
