package frostrelay.audit.fleet;

import frostrelay.gossip.AppliedVersions;

import java.util.Locale;

/** The kinds of versions in {@link AppliedVersions}. */
public enum AuditedVersionKind {
    CONFIG,
    LIST,
    HOLDS,
    BUILD;

    /**
     * Returns the version of this kind: its number, if it has one, and the digest of its content.
     */
    public Version versionIn(AppliedVersions versions) {
        return switch (this) {
            case CONFIG -> new Version(versions.configNumber(), versions.configDigest());
            case LIST -> new Version(versions.listRevision(), versions.listDigest());
            case HOLDS -> new Version(AppliedVersions.NO_NUMBER, versions.adminDrainsDigest());
            case BUILD -> new Version(AppliedVersions.NO_NUMBER, versions.buildDigest());
        };
    }

    /** Returns the name used on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** A version: {@code number} is {@link AppliedVersions#NO_NUMBER} if it has none. */
    public record Version(long number, long digest) {
        /** Returns {@code 41:0000beef...}, or the digest alone. */
        public String text() {
            String content = String.format(Locale.ROOT, "%016x", digest);
            return number == AppliedVersions.NO_NUMBER ? content : number + ":" + content;
        }

        /**
         * Returns whether an operator's query selects this version: by number, by digest or at
         * least four of its leading digits, or by number and digest separated by ':'.
         */
        public boolean matches(String query) {
            String content = String.format(Locale.ROOT, "%016x", digest);
            return query.equals(Long.toString(number)) && number != AppliedVersions.NO_NUMBER
                    || text().equals(query)
                    || query.length() >= 4 && content.startsWith(query.toLowerCase(Locale.ROOT));
        }
    }
}
