package frostrelay.node;

/** Why a request was refused. */
enum RefusalReason {
    /** The decision module refused it. */
    DECIDED,
    /** It came too late to be answered before this process ends, or this balancer sends its clients away. */
    NOT_ACCEPTING,
    /** Its connection came while there was no room for it. */
    NO_CONNECTION_ROOM,
    /** As many requests are open as may be. */
    TOO_MANY_OPEN,
    /** There is no memory for its value. */
    NO_MEMORY,
    /** Its time was up, and nothing of it had left. */
    NEVER_SENT
}
