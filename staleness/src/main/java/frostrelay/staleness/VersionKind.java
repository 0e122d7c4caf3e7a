package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;

/** The kinds of ordered versions. The ordinal is the code on the wire. */
public enum VersionKind {
    /** The endpoint list, ordered by its revision. */
    LIST {
        @Override
        public long number(AppliedVersions versions) {
            return versions.listRevision();
        }
    },
    /** The configuration, ordered by the number that operators gave it. */
    CONFIG {
        @Override
        public long number(AppliedVersions versions) {
            return versions.configNumber();
        }
    };

    /**
     * Returns the number of the version of this kind; {@link AppliedVersions#NO_NUMBER} for a
     * configuration without a number.
     */
    public abstract long number(AppliedVersions versions);

    /** Returns the name for logs and consoles. */
    public String displayName() {
        return this == LIST ? "list" : "configuration";
    }
}
