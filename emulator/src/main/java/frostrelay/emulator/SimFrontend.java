package frostrelay.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

import java.util.Arrays;
import java.util.List;

/**
 * The plain front: deals clients out over the balancers of their zone, some of which are given
 * several times the mean.
 */
final class SimFrontend {
    private final List<SimBalancer> balancers;
    private final int zoneCount;
    private final boolean isUniform;

    /** Sums of what balancers are given, by place, for each zone. */
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

    /** From now on this part of all clients comes to one zone, beside its own. */
    void shiftTraffic(int zone, double fraction) {
        crowdedZone = zone;
        shiftedFraction = fraction;
    }

    /** Where a client's next try goes; to one that is down only where all are. */
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
        // Sums stand still where others' balancers are: the first place past the draw is one of
        // this zone.
        return Math.min(zoneWeights.length - 1, found < 0 ? -found - 1 : found);
    }
}
