package frostrelay.rig.day;

import java.util.Arrays;
import java.util.List;

/** The faults and operators' calls that a fleet can play. */
public enum FaultKind {
    KILL("kill", Meets.CACHE, false),
    RESTART("restart", Meets.CACHE, false),
    SLOW("slow", Meets.CACHE, true),
    SILENCE("silence", Meets.CACHE, false),
    DRAIN("drain", Meets.CACHE, false),
    HOLD("hold", Meets.CACHE, false),
    LINK_DELAY("link-delay", Meets.CACHE, false),
    LINK_STALL("link-stall", Meets.CACHE, false),
    LINK_CUT("link-cut", Meets.CACHE, false),
    LINK_NARROW("link-narrow", Meets.CACHE, true),
    ARCHIVE_SLOW("archive-slow", Meets.NOBODY, true),
    ARCHIVE_OUTAGE("archive-outage", Meets.NOBODY, false),
    DISCOVERY_OUTAGE("discovery-outage", Meets.NOBODY, false),
    DISCOVERY_LATE("discovery-late", Meets.NOBODY, false),
    WATCH_SILENT("watch-silent", Meets.NOBODY, false),
    BALANCER_KILL("balancer-kill", Meets.BALANCER, false),
    BALANCER_RESTART("balancer-restart", Meets.BALANCER, false),
    /** SIGTERM, SIGKILL as soon as the operators' terms allow it, and a new start. */
    BALANCER_STOP("balancer-stop", Meets.BALANCER, false),
    /** The process stands still for the amount. */
    BALANCER_PAUSE("balancer-pause", Meets.BALANCER, false),
    RELOAD("reload", Meets.BALANCER, false),
    SURGE("surge", Meets.NOBODY, true);

    /** Whom a fault meets. */
    public enum Meets {
        CACHE,
        BALANCER,
        NOBODY
    }

    /** The name in files and on the command line. */
    public final String word;

    /** Whom it meets. */
    public final Meets meets;

    /** Whether its factor means anything. */
    public final boolean usesFactor;

    FaultKind(String word, Meets meets, boolean usesFactor) {
        this.word = word;
        this.meets = meets;
        this.usesFactor = usesFactor;
    }

    /** All names. */
    public static List<String> words() {
        return Arrays.stream(values()).map(kind -> kind.word).toList();
    }

    /** The fault of this name; throws IllegalArgumentException if there is none. */
    public static FaultKind of(String word) {
        return Arrays.stream(values())
                .filter(kind -> kind.word.equals(word))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "no fault: "
                                                + word
                                                + "; there are "
                                                + String.join(", ", words())));
    }
}
