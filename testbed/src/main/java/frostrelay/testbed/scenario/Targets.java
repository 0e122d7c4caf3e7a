package frostrelay.testbed.scenario;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.PermutationSampler;

import java.util.ArrayList;
import java.util.List;

/** Resolves the target of a fault: an instance by name, or randomly selected ones. */
public final class Targets {
    private Targets() {}

    /** Returns how many of {@code targetCount} instances a target selects; 0 if it matches none. */
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
     * Returns the indexes, from 0, of the selected instances among {@code targetCount}; empty if
     * the target matches none.
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
