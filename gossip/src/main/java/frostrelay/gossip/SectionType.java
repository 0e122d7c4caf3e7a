package frostrelay.gossip;

/**
 * Types of the sections that this package reads and writes, with their codes on the wire. Codes
 * from {@link PayloadProvider#FIRST_SECTION_TYPE} on belong to other modules; the others are unused
 * and ignored by readers.
 */
enum SectionType {
    /** Members that apply the same versions: fingerprint, then one entry each. */
    MEMBER_ENTRIES(1),
    /** The content behind a fingerprint. */
    APPLIED_VERSIONS(2),
    /** A claim that a member did not answer. */
    SUSPECT(3),
    /** A claim that a member is dead. */
    DEAD(4),
    /** A claim that a member shut down gracefully. */
    LEFT(5),
    /** A request for the content behind a fingerprint. */
    VERSIONS_REQUEST(6),
    /** The sender's uptime at the time of writing, in milliseconds modulo 2^32. */
    UPTIME(7),
    /** A cache that the sender's endpoint list rules out. */
    CACHE_UNAVAILABLE(8),
    /** A cache that the sender's endpoint list allows again. */
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

    /** The type's code on the wire. */
    int code() {
        return code;
    }

    /** The type of a code from the wire; null where this package has none with this code. */
    static SectionType fromCode(int code) {
        return code < BY_CODE.length ? BY_CODE[code] : null;
    }

    /** Whether the section claims that a member does not take part any more. */
    boolean isClaim() {
        return this == SUSPECT || this == DEAD || this == LEFT;
    }
}
