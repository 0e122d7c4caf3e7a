package frostrelay.audit.fleet;

import frostrelay.gossip.AppliedVersions;

import java.util.Locale;

/** The kinds of versions that {@link AppliedVersions} hold. */
public enum AuditedVersionKind {
    CONFIG,
    LIST,
    HOLDS,
    BUILD;

    /** The version of this kind: its number if there is one, and the digest of its content. */
    public Version versionIn(AppliedVersions versions) {
        return switch (this) {
            case CONFIG -> new Version(versions.configNumber(), versions.configDigest());
            case LIST -> new Version(versions.listRevision(), versions.listDigest());
            case HOLDS -> new Version(AppliedVersions.NO_NUMBER, versions.adminDrainsDigest());
            case BUILD -> new Version(AppliedVersions.NO_NUMBER, versions.buildDigest());
        };
    }

    /** As the command line names it. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** A version: {@code number} is {@link AppliedVersions#NO_NUMBER} if it has none. */
    public record Version(long number, long digest) {
        /** {@code 41:0000beef...}, or the digest alone. */
        public String text() {
            String content = String.format(Locale.ROOT, "%016x", digest);
            return number == AppliedVersions.NO_NUMBER ? content : number + ":" + content;
        }

        /**
         * Whether a query of an operator selects this version: by its number, by its digest or at
         * least four leading digits of that, or by both with ':'.
         */
        public boolean matches(String query) {
            String content = String.format(Locale.ROOT, "%016x", digest);
            return query.equals(Long.toString(number)) && number != AppliedVersions.NO_NUMBER
                    || text().equals(query)
                    || query.length() >= 4 && content.startsWith(query.toLowerCase(Locale.ROOT));
        }
    }
}
