package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;

/**
 * The order of two versions of one kind: how a peer's stands to the local one. Pure.
 *
 * <p>Lists are ordered by the discovery service's revision, configurations by the operators' number
 * where both have one. One number with two contents is a conflict, which operators have to resolve.
 * Configurations without numbers have no order: they are equal or they differ.
 */
public enum VersionOrder {
    /** Equal contents. */
    SAME,
    /** The peer's is newer. */
    NEWER,
    /** The peer's is older. */
    OLDER,
    /** One number with two contents. */
    CONFLICT,
    /** Different contents without an order. */
    UNORDERED;

    /** How a peer's list stands to the local one. */
    public static VersionOrder compareLists(AppliedVersions local, AppliedVersions other) {
        return compareNumbered(
                local.listRevision(), local.listDigest(), other.listRevision(), other.listDigest());
    }

    /** How a peer's configuration stands to the local one. */
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
