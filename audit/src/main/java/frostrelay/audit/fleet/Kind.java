package frostrelay.audit.fleet;

import frostrelay.peers.Stamp;

import java.util.Locale;

/** The kinds of versions that a stamp holds. */
public enum Kind {
    CONFIG,
    LIST,
    HOLDS,
    BUILD;

    /** Of which version a stamp is: a number where there is one, and the digest of the content. */
    public Version of(Stamp stamp) {
        return switch (this) {
            case CONFIG -> new Version(stamp.confNumber(), stamp.confDigest());
            case LIST -> new Version(stamp.listRev(), stamp.listDigest());
            case HOLDS -> new Version(Stamp.NO_NUMBER, stamp.holds());
            case BUILD -> new Version(Stamp.NO_NUMBER, stamp.build());
        };
    }

    /** As the command line names it. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** A version: {@code number} is {@link Stamp#NO_NUMBER} where nobody numbers it. */
    public record Version(long number, long digest) {
        /** {@code 41:0000beef...}, or the digest alone. */
        public String text() {
            String content = String.format(Locale.ROOT, "%016x", digest);
            return number == Stamp.NO_NUMBER ? content : number + ":" + content;
        }

        /**
         * Whether a person's word means this one: its number, its digest or the beginning of that,
         * or both with ':'.
         */
        public boolean matches(String word) {
            String content = String.format(Locale.ROOT, "%016x", digest);
            return word.equals(Long.toString(number)) && number != Stamp.NO_NUMBER
                    || text().equals(word)
                    || word.length() >= 4 && content.startsWith(word.toLowerCase(Locale.ROOT));
        }
    }
}
