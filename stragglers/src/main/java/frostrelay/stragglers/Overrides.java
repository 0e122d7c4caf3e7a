package frostrelay.stragglers;

import java.util.Set;

/**
 * What operators have decided in place of the program, as words that last as holds do: {@code
 * keep-in}, {@code shut-out}, and {@code follow:config:7} or {@code follow:list:9} for a version
 * that is followed although others fail under it. Unknown words are passed over.
 */
public record Overrides(Set<String> words) {
    /** Stays in however far it lags behind; goes before {@link #SHUT_OUT}. */
    public static final String KEEP_IN = "keep-in";

    /** Is aside until operators let go, whatever it acts on and whatever the others do. */
    public static final String SHUT_OUT = "shut-out";

    /** Nothing. */
    public static final Overrides NONE = new Overrides(Set.of());

    /** The word by which a version is followed all the same. */
    public static String follow(Kind kind, long number) {
        return "follow:" + kind.name().toLowerCase(java.util.Locale.ROOT) + ':' + number;
    }

    boolean keepsIn() {
        return words.contains(KEEP_IN);
    }

    boolean shutsOut() {
        return words.contains(SHUT_OUT) && !keepsIn();
    }

    boolean follows(Kind kind, long number) {
        return words.contains(follow(kind, number));
    }
}
