package frostrelay.adapter;

/** Kinds of actions and their codes on the wire. */
enum ActionCode {
    SUBSCRIBE(64),
    FAIL(65),
    SEND(67),
    SET_TIMER(68),
    SEND_MESSAGE(69),
    CLOSE_IDLE_CONNECTIONS(72),
    CANCEL(74),
    REJECT(75);

    final byte code;

    ActionCode(int code) {
        this.code = (byte) code;
    }
}
