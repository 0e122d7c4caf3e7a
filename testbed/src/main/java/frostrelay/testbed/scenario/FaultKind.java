package frostrelay.testbed.scenario;

import java.util.Arrays;
import java.util.List;

/** The faults and operators' calls that can be injected into a cluster. */
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
    /**
     * Sends SIGTERM, then SIGKILL at the end of the shutdown period, and starts the process again.
     */
    BALANCER_STOP("balancer-stop", TargetKind.BALANCER, false),
    /** Suspends the process for the amount. */
    BALANCER_PAUSE("balancer-pause", TargetKind.BALANCER, false),
    RELOAD("reload", TargetKind.BALANCER, false),
    SURGE("surge", TargetKind.NONE, true);

    /** The kind of target of a fault. */
    public enum TargetKind {
        CACHE,
        BALANCER,
        NONE
    }

    /** The name in files and on the command line. */
    public final String wireName;

    /** The kind of its targets. */
    public final TargetKind targetKind;

    /** Whether the fault uses its factor. */
    public final boolean usesFactor;

    FaultKind(String wireName, TargetKind targetKind, boolean usesFactor) {
        this.wireName = wireName;
        this.targetKind = targetKind;
        this.usesFactor = usesFactor;
    }

    /** Returns all names. */
    public static List<String> wireNames() {
        return Arrays.stream(values()).map(kind -> kind.wireName).toList();
    }

    /** Returns the fault with a name; throws IllegalArgumentException if there is none. */
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
