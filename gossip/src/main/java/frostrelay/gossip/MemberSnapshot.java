package frostrelay.gossip;

/**
 * A snapshot of the local member's knowledge of one member.
 *
 * @param rank the member's rank
 * @param state {@link MemberState#UNKNOWN} also while the local member is isolated
 * @param incarnation the highest known incarnation; 0 if none is known
 * @param sequence number of changes of the member's applied versions in this incarnation
 * @param fingerprint of the versions that the member last applied, or {@link
 *     AppliedVersions#NO_FINGERPRINT}
 * @param appliedVersions the versions with this fingerprint; null if they are not known
 * @param ageNanos time since the member itself confirmed this; negative if it never did
 */
public record MemberSnapshot(
        int rank,
        MemberState state,
        long incarnation,
        int sequence,
        int fingerprint,
        AppliedVersions appliedVersions,
        long ageNanos) {}
