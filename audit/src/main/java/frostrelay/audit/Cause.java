package frostrelay.audit;

/** Why a balancer began to act on something else. */
public enum Cause {
    START,
    DISCOVERY,
    FILE,
    OPERATORS,
    PEER
}
