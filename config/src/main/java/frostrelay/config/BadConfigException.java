package frostrelay.config;

import java.util.List;
import java.util.stream.Collectors;

/** Reports an invalid configuration. The message lists all problems, one per line. */
public final class BadConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient List<Problem> problems;

    /**
     * Creates an exception.
     *
     * @param problems at least one problem, in the order in which they are reported
     */
    public BadConfigException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems in the order in which they were reported. */
    public List<Problem> problems() {
        return problems;
    }
}
