package frostrelay.testbed.campaign;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * What a campaign is about: how balancers are started, what is drawn, and which checks come on top
 * of the audit's.
 */
public enum CampaignSubject {
    AUDIT("Who acted on which version: records against what the stand-ins saw."),
    STRAGGLERS(
            "Balancers that act on old lists are brought up, avoid what others know as gone, and never too many step aside."),
    JUDGEMENTS(
            "What balancers see of caches is told: a dead one is soon lowered by all, a healthy one hardly ever.");

    /** In a sentence. */
    public final String meaning;

    CampaignSubject(String meaning) {
        this.meaning = meaning;
    }

    /** As the command line names it. */
    public String keyword() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** All words. */
    public static List<String> keywords() {
        return Arrays.stream(values()).map(CampaignSubject::keyword).toList();
    }

    /** The one with this word. */
    public static CampaignSubject of(String keyword) {
        return valueOf(keyword.toUpperCase(Locale.ROOT));
    }

    /** A schedule by seed. */
    public Schedule generateSchedule(long seed, int processes, long lengthNanos) {
        return switch (this) {
            case AUDIT -> Schedule.generate(seed, processes, lengthNanos);
            case STRAGGLERS -> Schedule.generateForStaleness(seed, processes, lengthNanos);
            case JUDGEMENTS -> Schedule.generateForHealthReports(seed, processes, lengthNanos);
        };
    }
}
