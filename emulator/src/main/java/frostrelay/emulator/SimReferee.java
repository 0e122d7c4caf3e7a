package frostrelay.emulator;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Holds a day to the operators' rules, from what clients, caches and balancers' ledgers see,
 * whatever the module says of itself. Counts breaks by rule.
 */
final class SimReferee {
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

    private final Map<Rule, Long> breaks = new LinkedHashMap<>();

    void broken(Rule rule) {
        breaks.merge(rule, 1L, Long::sum);
    }

    void broken(Rule rule, long times) {
        if (times > 0) {
            breaks.merge(rule, times, Long::sum);
        }
    }

    /** How often each rule was broken, by its name. */
    Map<String, Long> breaks() {
        Map<String, Long> all = new LinkedHashMap<>();
        breaks.forEach((rule, times) -> all.put(rule.name(), times));
        return all;
    }
}
