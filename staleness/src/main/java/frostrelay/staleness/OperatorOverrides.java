package frostrelay.staleness;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/**
 * Decisions of operators that override the automatic ones. Stored and transferred as directives,
 * which persist like administrative drains: {@code keep-in}, {@code shut-out}, and {@code
 * follow:config:7} or {@code follow:list:9} for a version that is followed although peers fail
 * under it. Unknown directives are ignored. Immutable.
 */
public final class OperatorOverrides {
    /** Prevents self-draining because of staleness; takes precedence over {@link #SHUT_OUT}. */
    public static final String KEEP_IN = "keep-in";

    /** Makes the balancer drain itself until operators revoke this, regardless of its versions. */
    public static final String SHUT_OUT = "shut-out";

    /** No overrides. */
    public static final OperatorOverrides NONE = new OperatorOverrides(Set.of());

    private static final String FOLLOW_PREFIX = "follow:";

    private final boolean isKeptIn;
    private final boolean isShutOut;
    private final Set<NumberedVersion> followedVersions;

    /** Parses directives; unknown ones are ignored. */
    public OperatorOverrides(Set<String> directives) {
        isKeptIn = directives.contains(KEEP_IN);
        isShutOut = directives.contains(SHUT_OUT) && !isKeptIn;
        followedVersions = new HashSet<>();
        for (String directive : directives) {
            NumberedVersion version = parseFollowed(directive);
            if (version != null) {
                followedVersions.add(version);
            }
        }
    }

    /** Returns the version of a {@code follow:} directive; null for any other directive. */
    private static NumberedVersion parseFollowed(String directive) {
        for (VersionKind kind : VersionKind.values()) {
            String prefix = followPrefix(kind);
            if (directive.startsWith(prefix)) {
                try {
                    long number = Long.parseLong(directive.substring(prefix.length()));
                    // Accepts only the canonical form, without a plus sign or leading zeros.
                    return directive.equals(followDirective(kind, number))
                            ? new NumberedVersion(kind, number)
                            : null;
                } catch (NumberFormatException e) {
                    // An unknown directive, which is ignored.
                    return null;
                }
            }
        }
        return null;
    }

    private static String followPrefix(VersionKind kind) {
        return FOLLOW_PREFIX + kind.name().toLowerCase(Locale.ROOT) + ':';
    }

    /** Returns the directive to follow a version although peers fail under it. */
    public static String followDirective(VersionKind kind, long number) {
        return followPrefix(kind) + number;
    }

    boolean isKeptIn() {
        return isKeptIn;
    }

    boolean isShutOut() {
        return isShutOut;
    }

    boolean isFollowed(VersionKind kind, long number) {
        return followedVersions.contains(new NumberedVersion(kind, number));
    }
}
