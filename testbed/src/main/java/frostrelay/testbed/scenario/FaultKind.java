package frostrelay.testbed.scenario;

import java.util.Arrays;
import java.util.List;

/** The faults and operators' calls that a fleet can play. */
public enum FaultKind {
    KILL("kill", TargetKind.CACHE, false),
    RESTART("restart", TargetKind.CACHE, false),
    SLOW("slow", TargetKind.CACHE, true),
    SILENCE("silence", TargetKind.CACHE, false),
    DRAIN("drain", TargetKind.CACHE, false),
    HOLD("hold", TargetKind.CACHE, false),
    LINK_DELAY("link-delay", TargetKind.CACHE, false),
    LINK_STALL("link-stall", TargetKind.CACHE, false),
    LINK_CUT("link-cut", TargetKind.CACHE, false),
    LINK_NARROW("link-narrow", TargetKind.CACHE, true),
    ARCHIVE_SLOW("archive-slow", TargetKind.NONE, true),
    ARCHIVE_OUTAGE("archive-outage", TargetKind.NONE, false),
    DISCOVERY_OUTAGE("discovery-outage", TargetKind.NONE, false),
    DISCOVERY_LATE("discovery-late", TargetKind.NONE, false),
    WATCH_SILENT("watch-silent", TargetKind.NONE, false),
    BALANCER_KILL("balancer-kill", TargetKind.BALANCER, false),
    BALANCER_RESTART("balancer-restart", TargetKind.BALANCER, false),
    /** SIGTERM, SIGKILL as soon as the operators' terms allow it, and a new start. */
    BALANCER_STOP("balancer-stop", TargetKind.BALANCER, false),
    /** The process stands still for the amount. */
    BALANCER_PAUSE("balancer-pause", TargetKind.BALANCER, false),
    RELOAD("reload", TargetKind.BALANCER, false),
    SURGE("surge", TargetKind.NONE, true);

    /** Whom a fault meets. */
    public enum TargetKind {
        CACHE,
        BALANCER,
        NONE
    }

    /** The name in files and on the command line. */
    public final String wireName;

    /** Whom it meets. */
    public final TargetKind targetKind;

    /** Whether its factor means anything. */
    public final boolean usesFactor;

    FaultKind(String wireName, TargetKind targetKind, boolean usesFactor) {
        this.wireName = wireName;
        this.targetKind = targetKind;
        this.usesFactor = usesFactor;
    }

    /** All names. */
    public static List<String> wireNames() {
        return Arrays.stream(values()).map(kind -> kind.wireName).toList();
    }

    /** The fault of this name; throws IllegalArgumentException if there is none. */
    public static FaultKind fromWireName(String wireName) {
        return Arrays.stream(values())
                .filter(kind -> kind.wireName.equals(wireName))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "no fault: "
                                                + wireName
                                                + "; there are "
                                                + String.join(", ", wireNames())));
    }
}
