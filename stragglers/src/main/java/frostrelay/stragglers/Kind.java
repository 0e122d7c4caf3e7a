package frostrelay.stragglers;

import frostrelay.peers.Stamp;

/** What has versions that are ordered. */
public enum Kind {
    LIST {
        @Override
        public long number(Stamp stamp) {
            return stamp.listRev();
        }
    },
    CONFIG {
        @Override
        public long number(Stamp stamp) {
            return stamp.confNumber();
        }
    };

    /**
     * The version of this kind in a stamp; {@link Stamp#NO_NUMBER} where a configuration has none.
     */
    public abstract long number(Stamp stamp);

    /** As logs and consoles name it. */
    public String word() {
        return this == LIST ? "list" : "configuration";
    }
}
