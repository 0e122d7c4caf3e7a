package frostrelay.emulator;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Holds a day to the operators' rules, from what clients, caches and balancers' ledgers see,
 * whatever the module says of itself. Counts breaks by rule.
 */
final class SimInvariantChecker {
    /** What must hold. */
    enum Rule {
        /** A class that must never run twice ran twice. */
        RAN_TWICE,
        /** The module gave a second final answer. */
        ANSWERED_TWICE,
        /** The module left a request open past its deadline. */
        LEFT_OPEN,
        /** A first try had no end by the end of the day. */
        UNANSWERED,
        /**
         * A cache was sent something though it had been told to be draining or gone for longer than
         * the grace.
         */
        SENT_TO_DRAINING,
        /** A cache that was cold got more than it can stand. */
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

    /** How often each rule was broken, by its name. */
    Map<String, Long> violations() {
        Map<String, Long> all = new LinkedHashMap<>();
        violations.forEach((rule, times) -> all.put(rule.name(), times));
        return all;
    }
}
