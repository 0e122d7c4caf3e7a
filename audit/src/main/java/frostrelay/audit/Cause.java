package frostrelay.audit;

/** Why the applied versions changed. The ordinals are part of the record format. */
public enum Cause {
    /** The balancer started. */
    START,
    /** Discovery returned another endpoint list. */
    DISCOVERY,
    /** The configuration file changed. */
    FILE,
    /** An operator acted through the admin server. */
    OPERATORS,
    /** A peer supplied the new version. */
    PEER
}
