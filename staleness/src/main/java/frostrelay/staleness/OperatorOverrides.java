package frostrelay.staleness;

import java.util.Set;

/**
 * What operators have decided in place of the program, as words that last as holds do: {@code
 * keep-in}, {@code shut-out}, and {@code follow:config:7} or {@code follow:list:9} for a version
 * that is followed although others fail under it. Unknown words are passed over.
 */
public record OperatorOverrides(Set<String> directives) {
    /** Stays in however far it lags behind; goes before {@link #SHUT_OUT}. */
    public static final String KEEP_IN = "keep-in";

    /** Is aside until operators let go, whatever it acts on and whatever the others do. */
    public static final String SHUT_OUT = "shut-out";

    /** Nothing. */
    public static final OperatorOverrides NONE = new OperatorOverrides(Set.of());

    /** The word by which a version is followed all the same. */
    public static String followDirective(VersionKind kind, long number) {
        return "follow:" + kind.name().toLowerCase(java.util.Locale.ROOT) + ':' + number;
    }

    boolean isKeptIn() {
        return directives.contains(KEEP_IN);
    }

    boolean isShutOut() {
        return directives.contains(SHUT_OUT) && !isKeptIn();
    }

    boolean isFollowed(VersionKind kind, long number) {
        return directives.contains(followDirective(kind, number));
    }
}
