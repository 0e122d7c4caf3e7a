package frostrelay.testbed.invariants;

/** What a balancer must keep. */
public enum Invariant {
    /** A request that was taken got no final answer in its time. */
    NO_ANSWER,
    /** A request got more than one final answer. */
    TWO_ANSWERS,
    /** A request of a class that must never run twice ran twice. */
    RAN_TWICE,
    /** A keyed write took effect twice. */
    KEYED_TWICE,
    /** A request was refused, which makes a repeat harmless, and had run. */
    REFUSED_BUT_RAN,
    /** A request was answered with what no cache made for it. */
    FOREIGN_ANSWER,
    /** Work was sent to a cache too long after the balancer was told that it drains or is gone. */
    DRAIN_IGNORED,
    /** Work was begun at a cache too long after its client had closed its connection. */
    BEGUN_AFTER_CLIENT_LEFT,
    /** A cache was told that it is waited for longer than the client still waits. */
    WAIT_OVERSTATED,
    /** A cache that had just started was sent more than it can bear. */
    COLD_OVERDRIVEN
}
