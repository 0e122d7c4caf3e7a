package frostrelay.emulator;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts violations of the operators' rules, as observed by clients, caches and the balancers'
 * request tables, independently of the decision module's own figures.
 */
final class SimInvariantChecker {
    /** The rules, each named after its violation. */
    enum Rule {
        /** A request that is not idempotent was executed twice. */
        RAN_TWICE,
        /** The module gave a second final answer. */
        ANSWERED_TWICE,
        /** The module left a request open past its deadline. */
        LEFT_OPEN,
        /** A client request had no final answer at the end of the run. */
        UNANSWERED,
        /**
         * An attempt was sent to a cache that the balancer had known to be draining or removed for
         * longer than the grace period.
         */
        SENT_TO_DRAINING,
        /** A cache in slow start received more load than its overload limit. */
        COLD_PUSHED_OVER
    }

    private final Map<Rule, Long> violations = new LinkedHashMap<>();

    void recordViolation(Rule rule) {
        violations.merge(rule, 1L, Long::sum);
    }

    void recordViolation(Rule rule, long times) {
        if (times > 0) {
            violations.merge(rule, times, Long::sum);
        }
    }

    /** Returns the number of violations by rule name. */
    Map<String, Long> violations() {
        Map<String, Long> all = new LinkedHashMap<>();
        violations.forEach((rule, times) -> all.put(rule.name(), times));
        return all;
    }
}
