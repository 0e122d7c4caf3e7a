package frostrelay.gossip;

/**
 * What this balancer knows of another. {@code state}: {@link MemberState#UNKNOWN} also where this
 * one hears nobody; {@code appliedVersions}: what it was last known to act on, or null; {@code
 * sequence}: how often its stamp had changed in its life {@code incarnation}; {@code ageNanos}:
 * nanoseconds since it said so itself, negative where it never did.
 */
public record MemberSnapshot(
        int rank,
        MemberState state,
        long incarnation,
        int sequence,
        int fingerprint,
        AppliedVersions appliedVersions,
        long ageNanos) {}
