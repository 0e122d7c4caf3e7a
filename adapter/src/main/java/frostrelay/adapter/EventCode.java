package frostrelay.adapter;

/** Kinds of events, in the order of their codes on the wire. */
enum EventCode {
    /** 0: an endpoint list that later events refer to by its number. */
    SERVER_LIST,
    /** 1: a timer is due. */
    TIMER,
    /** 2: an attempt ended. */
    ATTEMPT_OUTCOME,
    /** 3: a balancer stopped. */
    STOP,
    /** 4: a message from another balancer. */
    PEER_MESSAGE,
    /** 5: a health check's result; ignored, as the decision module requests none. */
    HEALTH_CHECK_RESULT,
    /** 6: a balancer received an endpoint list, or a call for it failed. */
    ENDPOINT_UPDATE,
    /** 7: a balancer started. */
    START,
    /** 8: the first byte of a streamed answer arrived. */
    FIRST_BYTE,
    /** 9: a client disconnected. */
    CLIENT_DISCONNECT,
    /** 10: a client request arrived. */
    REQUEST;

    private static final EventCode[] BY_CODE = values();

    /**
     * Returns the event with this code.
     *
     * @throws WireException if there is none
     */
    static EventCode of(int code) {
        if (code >= BY_CODE.length) {
            throw new WireException("unknown event code " + code);
        }
        return BY_CODE[code];
    }

    int code() {
        return ordinal();
    }
}
