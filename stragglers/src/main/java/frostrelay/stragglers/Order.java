package frostrelay.stragglers;

import frostrelay.peers.Stamp;

/**
 * What orders two versions, kind by kind: how another's stands to one's own. Pure.
 *
 * <p>A list is ordered by discovery's version, a configuration by the operators' number where both
 * have one. One number with two contents is a conflict, which no balancer settles: operators do.
 * Configurations without numbers, holds and builds have no order: they are the same or they differ.
 */
public enum Order {
    SAME,
    NEWER,
    OLDER,
    CONFLICT,
    UNORDERED;

    /** How the other's list stands to mine. */
    public static Order list(Stamp mine, Stamp other) {
        return numbered(mine.listRev(), mine.listDigest(), other.listRev(), other.listDigest());
    }

    /** How the other's configuration stands to mine. */
    public static Order config(Stamp mine, Stamp other) {
        if (mine.confNumber() == Stamp.NO_NUMBER || other.confNumber() == Stamp.NO_NUMBER) {
            return mine.confDigest() == other.confDigest() ? SAME : UNORDERED;
        }
        return numbered(
                mine.confNumber(), mine.confDigest(), other.confNumber(), other.confDigest());
    }

    private static Order numbered(long mine, long digest, long other, long otherDigest) {
        if (mine != other) {
            return other > mine ? NEWER : OLDER;
        }
        return digest == otherDigest ? SAME : CONFLICT;
    }
}
