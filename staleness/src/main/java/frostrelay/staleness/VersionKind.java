package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;

/** What has versions that are ordered. */
public enum VersionKind {
    LIST {
        @Override
        public long number(AppliedVersions stamp) {
            return stamp.listRevision();
        }
    },
    CONFIG {
        @Override
        public long number(AppliedVersions stamp) {
            return stamp.configNumber();
        }
    };

    /**
     * The version of this kind in a stamp; {@link AppliedVersions#NO_NUMBER} where a configuration
     * has none.
     */
    public abstract long number(AppliedVersions stamp);

    /** As logs and consoles name it. */
    public String displayName() {
        return this == LIST ? "list" : "configuration";
    }
}
