package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;

/** What has ordered versions. The ordinal is the code on the wire. */
public enum VersionKind {
    /** The endpoint list, by its revision. */
    LIST {
        @Override
        public long number(AppliedVersions versions) {
            return versions.listRevision();
        }
    },
    /** The configuration, by the operators' number. */
    CONFIG {
        @Override
        public long number(AppliedVersions versions) {
            return versions.configNumber();
        }
    };

    /**
     * The number of this kind's version; {@link AppliedVersions#NO_NUMBER} where a configuration
     * has none.
     */
    public abstract long number(AppliedVersions versions);

    /** The name in logs and consoles. */
    public String displayName() {
        return this == LIST ? "list" : "configuration";
    }
}
