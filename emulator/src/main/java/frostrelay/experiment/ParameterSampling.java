package frostrelay.experiment;

import frostrelay.config.BadConfigException;
import frostrelay.config.Problem;
import frostrelay.config.TableValues;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Sampling of model parameters, uniformly between a minimum and a maximum and anew for each seed.
 */
final class ParameterSampling {
    private static final Pattern LITERAL = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)([a-z/]*)");
    private static final long SEED_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private ParameterSampling() {}

    /**
     * Returns the values for a seed with all sampled parameters set; throws {@link
     * BadConfigException} for an invalid range.
     */
    static TableValues sample(String file, TableValues values, long seed) {
        UniformRandomProvider random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(
                        seed * SEED_MULTIPLIER + "draws".hashCode());
        TableValues drawn = values.with("seed", String.valueOf(seed), file, 0);
        for (TableValues parameter : values.list("draw")) {
            drawn =
                    drawn.with(
                            parameter.text("key"),
                            literal(file, parameter, random.nextDouble()),
                            file,
                            parameter.line());
        }
        return drawn;
    }

    private static String literal(String file, TableValues draw, double randomUnit) {
        Matcher minimum = LITERAL.matcher(draw.text("least"));
        Matcher maximum = LITERAL.matcher(draw.text("most"));
        if (!minimum.matches()
                || !maximum.matches()
                || !minimum.group(2).equals(maximum.group(2))
                || Double.parseDouble(minimum.group(1)) > Double.parseDouble(maximum.group(1))) {
            throw new BadConfigException(
                    List.of(
                            new Problem(
                                    file,
                                    draw.line(),
                                    "draw.least",
                                    draw.text("least") + " to " + draw.text("most"),
                                    "two numbers with the same unit, the smaller one first")));
        }
        double minimumValue = Double.parseDouble(minimum.group(1));
        double value =
                minimumValue + randomUnit * (Double.parseDouble(maximum.group(1)) - minimumValue);
        boolean isInteger = !(minimum.group(1) + maximum.group(1)).contains(".");
        return isInteger
                ? Math.round(value) + minimum.group(2)
                : String.format(Locale.ROOT, "%.4f%s", value, minimum.group(2));
    }
}
