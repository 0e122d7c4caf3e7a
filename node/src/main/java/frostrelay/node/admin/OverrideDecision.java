package frostrelay.node.admin;

/**
 * A decision of administrators that overrides the staleness detection of a balancer.
 *
 * @param word the form in which the decision is stored and reported; empty for {@link #CLEAR_ALL}
 */
public record OverrideDecision(String word) {
    /**
     * Keeps the balancer serving regardless of its staleness; takes precedence over {@link
     * #SHUT_OUT}.
     */
    public static final OverrideDecision KEEP_IN = new OverrideDecision("keep-in");

    /** Drains the balancer until the decision is cleared. */
    public static final OverrideDecision SHUT_OUT = new OverrideDecision("shut-out");

    /** Clears all decisions made so far. */
    public static final OverrideDecision CLEAR_ALL = new OverrideDecision("");

    /**
     * Makes the balancer follow a version that it has refused to follow.
     *
     * @param kind the kind of version, {@code list} or {@code config}
     * @param number the version number
     */
    public static OverrideDecision followVersion(String kind, long number) {
        return new OverrideDecision("follow:" + kind + ':' + number);
    }

    /** Returns whether this clears all decisions rather than adding one. */
    public boolean clearsAll() {
        return word.isEmpty();
    }
}
