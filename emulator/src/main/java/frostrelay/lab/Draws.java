package frostrelay.lab;

import frostrelay.config.BadConfigException;
import frostrelay.config.Problem;
import frostrelay.config.Values;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Values that each seed of a plant draws anew, evenly between two that a file could have. */
final class Draws {
    private static final Pattern LITERAL = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)([a-z/]*)");
    private static final long MIX = 0x9E3779B97F4A7C15L;

    private Draws() {}

    /**
     * The values of a seed, none of them left to draw; throws {@link BadConfigException} for what
     * cannot be drawn.
     */
    static Values of(String file, Values values, long seed) {
        UniformRandomProvider random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed * MIX + "draws".hashCode());
        Values drawn = values.with("seed", String.valueOf(seed), file, 0);
        for (Values one : values.list("draw")) {
            drawn =
                    drawn.with(
                            one.text("key"),
                            literal(file, one, random.nextDouble()),
                            file,
                            one.line());
        }
        return drawn;
    }

    private static String literal(String file, Values draw, double dice) {
        Matcher least = LITERAL.matcher(draw.text("least"));
        Matcher most = LITERAL.matcher(draw.text("most"));
        if (!least.matches()
                || !most.matches()
                || !least.group(2).equals(most.group(2))
                || Double.parseDouble(least.group(1)) > Double.parseDouble(most.group(1))) {
            throw new BadConfigException(
                    List.of(
                            new Problem(
                                    file,
                                    draw.line(),
                                    "draw.least",
                                    draw.text("least") + " to " + draw.text("most"),
                                    "two numbers of one unit, the smaller one first")));
        }
        double from = Double.parseDouble(least.group(1));
        double value = from + dice * (Double.parseDouble(most.group(1)) - from);
        boolean whole = !(least.group(1) + most.group(1)).contains(".");
        return whole
                ? Math.round(value) + least.group(2)
                : String.format(Locale.ROOT, "%.4f%s", value, least.group(2));
    }
}
