package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;

/**
 * The order of a peer's version relative to the local version of the same kind.
 *
 * <p>Lists are ordered by the discovery service's revision, configurations by the operators' number
 * if both have one. Different contents under the same number are a conflict, which operators have
 * to resolve. Configurations without numbers have no order: they are equal or they differ.
 */
public enum VersionOrder {
    /** Equal contents. */
    SAME,
    /** The peer's version is newer. */
    NEWER,
    /** The peer's version is older. */
    OLDER,
    /** Different contents under the same number. */
    CONFLICT,
    /** Different contents without an order. */
    UNORDERED;

    /** Returns the order of a peer's list relative to the local one. */
    public static VersionOrder compareLists(AppliedVersions local, AppliedVersions other) {
        return compareNumbered(
                local.listRevision(), local.listDigest(), other.listRevision(), other.listDigest());
    }

    /** Returns the order of a peer's configuration relative to the local one. */
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
