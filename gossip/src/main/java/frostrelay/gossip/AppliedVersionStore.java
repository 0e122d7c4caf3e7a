package frostrelay.gossip;

import java.util.LinkedHashMap;
import java.util.Map;

/** The known contents of {@link AppliedVersions}, by fingerprint. Bounded. */
final class AppliedVersionStore {
    private static final int MAX_ENTRIES = 256;

    private final MembershipTable members;
    private final GossipNode.Listener listener;
    private final Map<Integer, AppliedVersions> versionsByFingerprint = new LinkedHashMap<>();

    AppliedVersionStore(MembershipTable members, GossipNode.Listener listener) {
        this.members = members;
        this.listener = listener;
    }

    /** Adds a content and notifies the listener. */
    void add(long now, int fingerprint, AppliedVersions versions) {
        if (versionsByFingerprint.size() >= MAX_ENTRIES) {
            evict();
        }
        versionsByFingerprint.put(fingerprint, versions);
        listener.onAppliedVersions(now, fingerprint, versions);
    }

    boolean contains(int fingerprint) {
        return versionsByFingerprint.containsKey(fingerprint);
    }

    /** The content of a fingerprint; null where it is not known. */
    AppliedVersions get(int fingerprint) {
        return versionsByFingerprint.get(fingerprint);
    }

    /** Removes the oldest that no member applies; it can be requested from a peer again. */
    private void evict() {
        int evicted = versionsByFingerprint.keySet().iterator().next();
        for (int candidate : versionsByFingerprint.keySet()) {
            if (!isReferenced(candidate)) {
                evicted = candidate;
                break;
            }
        }
        versionsByFingerprint.remove(evicted);
    }

    private boolean isReferenced(int fingerprint) {
        for (int memberFingerprint : members.fingerprints) {
            if (memberFingerprint == fingerprint) {
                return true;
            }
        }
        return false;
    }
}
