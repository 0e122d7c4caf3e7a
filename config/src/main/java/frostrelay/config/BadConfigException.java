package frostrelay.config;

import java.util.List;
import java.util.stream.Collectors;

/** A configuration that is refused, with everything that is wrong with it. */
public final class BadConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient List<Problem> problems;

    /** {@code problems}: at least one, in the order in which they should be told. */
    public BadConfigException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** What is wrong. */
    public List<Problem> problems() {
        return problems;
    }
}
