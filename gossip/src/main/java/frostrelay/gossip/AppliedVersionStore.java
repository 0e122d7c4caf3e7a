package frostrelay.gossip;

import java.util.LinkedHashMap;
import java.util.Map;

/** A bounded store of known {@link AppliedVersions}, by fingerprint. */
final class AppliedVersionStore {
    private static final int MAX_ENTRIES = 256;

    private final MembershipTable members;
    private final GossipNode.Listener listener;
    private final Map<Integer, AppliedVersions> versionsByFingerprint = new LinkedHashMap<>();

    AppliedVersionStore(MembershipTable members, GossipNode.Listener listener) {
        this.members = members;
        this.listener = listener;
    }

    /** Adds applied versions and notifies the listener. */
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

    /** Returns the applied versions with a fingerprint; null if they are not known. */
    AppliedVersions get(int fingerprint) {
        return versionsByFingerprint.get(fingerprint);
    }

    /**
     * Evicts the oldest versions that no member applies, or the oldest of all if every one is
     * applied. Evicted versions can be requested from a peer again.
     */
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
