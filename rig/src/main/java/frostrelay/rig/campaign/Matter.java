package frostrelay.rig.campaign;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * What a campaign is about: how balancers are started, what is drawn, and which checks come on top
 * of the audit's.
 */
public enum Matter {
    AUDIT("Who acted on which version: records against what the stand-ins saw."),
    STRAGGLERS(
            "Balancers that act on old lists are brought up, avoid what others know as gone, and never too many step aside."),
    JUDGEMENTS(
            "What balancers see of caches is told: a dead one is soon lowered by all, a healthy one hardly ever.");

    /** In a sentence. */
    public final String meaning;

    Matter(String meaning) {
        this.meaning = meaning;
    }

    /** As the command line names it. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** All words. */
    public static List<String> words() {
        return Arrays.stream(values()).map(Matter::word).toList();
    }

    /** The one with this word. */
    public static Matter of(String word) {
        return valueOf(word.toUpperCase(Locale.ROOT));
    }

    /** A schedule by seed. */
    public Schedule drawn(long seed, int processes, long length) {
        return switch (this) {
            case AUDIT -> Schedule.drawn(seed, processes, length);
            case STRAGGLERS -> Schedule.drawnOfStragglers(seed, processes, length);
            case JUDGEMENTS -> Schedule.drawnOfJudgements(seed, processes, length);
        };
    }
}
