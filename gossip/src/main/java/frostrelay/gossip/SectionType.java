package frostrelay.gossip;

/**
 * Types of the sections that this package reads and writes, with their codes on the wire. Codes
 * from {@link PayloadProvider#FIRST_SECTION_TYPE} on belong to other modules; all other codes are
 * unused, and readers ignore them.
 */
enum SectionType {
    /** Members that apply the same versions: a fingerprint, then one entry per member. */
    MEMBER_ENTRIES(1),
    /** The applied versions that have a given fingerprint. */
    APPLIED_VERSIONS(2),
    /** A claim that a member did not answer. */
    SUSPECT(3),
    /** A claim that a member is dead. */
    DEAD(4),
    /** A claim that a member shut down gracefully. */
    LEFT(5),
    /** A request for the applied versions with a given fingerprint. */
    VERSIONS_REQUEST(6),
    /** The sender's uptime at the time of writing, in milliseconds modulo 2^32. */
    UPTIME(7),
    /** A cache that is unavailable according to the sender's endpoint list. */
    CACHE_UNAVAILABLE(8),
    /** A cache that is available again according to the sender's endpoint list. */
    CACHE_RESTORED(9);

    private static final SectionType[] BY_CODE = new SectionType[values().length + 1];

    static {
        for (SectionType type : values()) {
            BY_CODE[type.code] = type;
        }
    }

    private final int code;

    SectionType(int code) {
        this.code = code;
    }

    /** Returns the code on the wire. */
    int code() {
        return code;
    }

    /** Returns the type with a code from the wire; null if this package defines none. */
    static SectionType fromCode(int code) {
        return code < BY_CODE.length ? BY_CODE[code] : null;
    }

    /** Returns whether the section claims that a member is suspected, dead or has left. */
    boolean isClaim() {
        return this == SUSPECT || this == DEAD || this == LEFT;
    }
}
