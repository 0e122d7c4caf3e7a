package frostrelay.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

import java.util.Arrays;
import java.util.List;

/**
 * The plain front: deals clients out over the balancers of their zone, some of which are given
 * several times the mean.
 */
final class SimFront {
    private final List<SimBalancer> balancers;
    private final int zones;
    private final boolean even;

    /** Sums of what balancers are given, by place, for each zone. */
    private final double[][] sums;

    private int crowded = -1;
    private double shift;

    SimFront(Plant plant, List<SimBalancer> balancers) {
        this.balancers = balancers;
        this.zones = plant.zones();
        even = zones == 1 && plant.clients().skew() == 0;
        sums = new double[zones][balancers.size()];
        ZigguratSampler.NormalizedGaussian spread =
                ZigguratSampler.NormalizedGaussian.of(Randoms.of(plant.seed(), "front"));
        double[] weights =
                balancers.stream()
                        .mapToDouble(one -> Math.exp(plant.clients().skew() * spread.sample()))
                        .toArray();
        for (int zone = 0; zone < zones; zone++) {
            double sum = 0;
            for (int i = 0; i < weights.length; i++) {
                sum += balancers.get(i).zone() == zone ? weights[i] : 0;
                sums[zone][i] = sum;
            }
        }
    }

    /** From now on this part of all clients comes to one zone, beside its own. */
    void shift(int zone, double part) {
        crowded = zone;
        shift = part;
    }

    /** Where a client's next try goes; to one that is down only where all are. */
    SimBalancer choose(UniformRandomProvider random) {
        int place = even ? random.nextInt(balancers.size()) : uneven(random);
        SimBalancer wanted = balancers.get(place);
        SimBalancer other = wanted;
        for (int i = 0; i < balancers.size(); i++) {
            SimBalancer balancer = balancers.get((place + i) % balancers.size());
            if (!balancer.isDown() && balancer.zone() == wanted.zone()) {
                return balancer;
            }
            other = other.isDown() ? balancer : other;
        }
        return other;
    }

    private int uneven(UniformRandomProvider random) {
        int zone = shift > 0 && random.nextDouble() < shift ? crowded : random.nextInt(zones);
        double[] row = sums[zone];
        int at = Arrays.binarySearch(row, random.nextDouble() * row[row.length - 1]);
        // Sums stand still where others' balancers are: the first place past the draw is one of
        // this zone.
        return Math.min(row.length - 1, at < 0 ? -at - 1 : at);
    }
}
