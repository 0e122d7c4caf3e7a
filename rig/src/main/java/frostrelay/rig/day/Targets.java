package frostrelay.rig.day;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.PermutationSampler;

import java.util.ArrayList;
import java.util.List;

/** Whom a fault's target means: one by name, or some by chance. */
public final class Targets {
    private Targets() {}

    /** How many of {@code most} a target means; 0 if it means none that there is. */
    public static int count(String target, String name, int most) {
        if (target.equals("any")) {
            return 1;
        }
        if (target.matches("any-[0-9]{1,4}")) {
            int some = Integer.parseInt(target.substring("any-".length()));
            return some <= most ? some : 0;
        }
        return target.matches(name + "-[0-9]{1,4}") && number(target) >= 1 && number(target) <= most
                ? 1
                : 0;
    }

    private static int number(String target) {
        return Integer.parseInt(target.substring(target.lastIndexOf('-') + 1));
    }

    /**
     * The places, from 0, that a target means among {@code most}; empty if it means none that there
     * is.
     */
    public static List<Integer> choose(
            String target, String name, int most, UniformRandomProvider random) {
        int count = count(target, name, most);
        List<Integer> chosen = new ArrayList<>();
        if (!target.startsWith("any")) {
            return count == 0 ? chosen : List.of(number(target) - 1);
        }
        if (count > 0) {
            for (int place : new PermutationSampler(random, most, count).sample()) {
                chosen.add(place);
            }
        }
        return chosen;
    }
}
