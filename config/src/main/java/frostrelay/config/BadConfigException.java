package frostrelay.config;

import java.util.List;
import java.util.stream.Collectors;

/** A configuration is invalid. The message lists all problems, one per line. */
public final class BadConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient List<Problem> problems;

    /** {@code problems}: at least one, in the order in which they are reported. */
    public BadConfigException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** The problems found, in their order. */
    public List<Problem> problems() {
        return problems;
    }
}
