package frostrelay.node;

import frostrelay.policy.Api.Reason;

import io.netty.util.concurrent.Future;

/** One send of a request to a cache host; numbered by its place among the request's sends. */
final class Attempt {
    final Exchange exchange;
    final int number;

    /** The host that it goes to, by its number on the list. */
    final long server;

    final long sentAt;
    final long cutAt;

    /** Which stamp it was decided on under, by its number in this life. */
    final int under;

    /** Set once, with the attempt's one outcome. */
    boolean over;

    /** That outcome; null before. */
    Reason ended;

    /** Whether it went out whole. */
    boolean sent;

    /** Ends the wait at {@link #cutAt}. */
    Future<?> cut;

    /** The milliseconds that its server was told it is waited for; 0 before it is written. */
    long toldMs;

    /** What carries it, or will once it is up; null before and after. */
    Backend.Carrier carrier;

    Attempt(Exchange exchange, int number, long server, long sentAt, long cutAt, int under) {
        this.exchange = exchange;
        this.number = number;
        this.server = server;
        this.sentAt = sentAt;
        this.cutAt = cutAt;
        this.under = under;
    }

    /** Whether its last byte has left: from then on it may run. */
    boolean written() {
        return carrier != null && carrier.written();
    }
}
