package frostrelay.audit;

/** The types of entries, with their numbers in a record. */
enum EntryType {
    STARTED(1),
    VERSIONS_APPLIED(2),
    CACHE_NAMED(3),
    ENDPOINT_LISTED(4),
    SEND_COUNTS(5),
    ATTEMPT_SENT(6),
    PEER_VERSIONS_HEARD(7),
    PEER_STATE_CHANGED(8),
    PEER_CLOCK_SAMPLED(9),
    WALL_CLOCK_JUMPED(10),
    INCARNATION_CHANGED(11),
    UPDATE_REJECTED(12),
    GAP(13),
    STOPPED(14),
    RESUMED(15);

    private static final EntryType[] BY_CODE = new EntryType[values().length + 1];

    static {
        for (EntryType type : values()) {
            BY_CODE[type.code] = type;
        }
    }

    private final int code;

    EntryType(int code) {
        this.code = code;
    }

    /** The number in a record; never reused. */
    int code() {
        return code;
    }

    /** Returns the type with this number; null for types of later builds. */
    static EntryType ofCode(int code) {
        return code < BY_CODE.length ? BY_CODE[code] : null;
    }
}
