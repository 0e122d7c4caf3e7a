package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;

/**
 * What orders two versions, kind by kind: how another's stands to one's own. Pure.
 *
 * <p>A list is ordered by discovery's version, a configuration by the operators' number where both
 * have one. One number with two contents is a conflict, which no balancer settles: operators do.
 * Configurations without numbers, holds and builds have no order: they are the same or they differ.
 */
public enum VersionOrder {
    SAME,
    NEWER,
    OLDER,
    CONFLICT,
    UNORDERED;

    /** How the other's list stands to mine. */
    public static VersionOrder compareLists(AppliedVersions local, AppliedVersions other) {
        return compareNumbered(
                local.listRevision(), local.listDigest(), other.listRevision(), other.listDigest());
    }

    /** How the other's configuration stands to mine. */
    public static VersionOrder compareConfigs(AppliedVersions local, AppliedVersions other) {
        if (local.configNumber() == AppliedVersions.NO_NUMBER
                || other.configNumber() == AppliedVersions.NO_NUMBER) {
            return local.configDigest() == other.configDigest() ? SAME : UNORDERED;
        }
        return compareNumbered(
                local.configNumber(),
                local.configDigest(),
                other.configNumber(),
                other.configDigest());
    }

    private static VersionOrder compareNumbered(
            long localNumber, long localDigest, long otherNumber, long otherDigest) {
        if (localNumber != otherNumber) {
            return otherNumber > localNumber ? NEWER : OLDER;
        }
        return localDigest == otherDigest ? SAME : CONFLICT;
    }
}
