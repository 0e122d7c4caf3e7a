package frostrelay.testbed.scenario;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.PermutationSampler;

import java.util.ArrayList;
import java.util.List;

/** Whom a fault's target means: one by name, or some by chance. */
public final class Targets {
    private Targets() {}

    /** How many of {@code targetCount} a target means; 0 if it means none that there is. */
    public static int count(String target, String prefix, int targetCount) {
        if (target.equals("any")) {
            return 1;
        }
        if (target.matches("any-[0-9]{1,4}")) {
            int requested = Integer.parseInt(target.substring("any-".length()));
            return requested <= targetCount ? requested : 0;
        }
        return target.matches(prefix + "-[0-9]{1,4}")
                        && number(target) >= 1
                        && number(target) <= targetCount
                ? 1
                : 0;
    }

    private static int number(String target) {
        return Integer.parseInt(target.substring(target.lastIndexOf('-') + 1));
    }

    /**
     * The places, from 0, that a target means among {@code targetCount}; empty if it means none
     * that there is.
     */
    public static List<Integer> choose(
            String target, String prefix, int targetCount, UniformRandomProvider random) {
        int count = count(target, prefix, targetCount);
        List<Integer> chosen = new ArrayList<>();
        if (!target.startsWith("any")) {
            return count == 0 ? chosen : List.of(number(target) - 1);
        }
        if (count > 0) {
            for (int index : new PermutationSampler(random, targetCount, count).sample()) {
                chosen.add(index);
            }
        }
        return chosen;
    }
}
