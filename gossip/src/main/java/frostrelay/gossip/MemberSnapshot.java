package frostrelay.gossip;

/**
 * What the local member knows of one member at a moment.
 *
 * @param rank the member
 * @param state {@link MemberState#UNKNOWN} also while the local member is isolated
 * @param incarnation the highest known; 0 where none is
 * @param sequence how often the member's applied versions had changed in this incarnation
 * @param fingerprint of the versions that the member last applied, or {@link
 *     AppliedVersions#NO_FINGERPRINT}
 * @param appliedVersions the content behind the fingerprint; null where it is not known
 * @param ageNanos time since the member confirmed this itself; negative where it never did
 */
public record MemberSnapshot(
        int rank,
        MemberState state,
        long incarnation,
        int sequence,
        int fingerprint,
        AppliedVersions appliedVersions,
        long ageNanos) {}
