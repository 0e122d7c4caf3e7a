package frostrelay.node;

import frostrelay.lifecycle.ActionGuard;
import frostrelay.policy.Api;

import io.netty.util.concurrent.Future;

import java.util.ArrayList;
import java.util.List;

/** A request that was taken, from its arrival until the outcome of its last attempt. */
final class Exchange {
    /** Where the one final answer goes, in whatever protocol. */
    interface Client {
        /** {@code value}: what is still coming in, or null. */
        void served(Reply reply, ValueStream value);

        /** Nothing has run. {@code retryAfterMs}: when to come back, 0 if nothing is said. */
        void refused(long retryAfterMs);

        void failed();

        /**
         * Since when the client could have left without being seen to; {@link ActionGuard#NEVER}
         * while it is watched.
         */
        long unseenSince(long now);
    }

    final long id;
    final Ask ask;

    /** Its class, as the settings had it when the request was accepted. */
    final Api.RequestClass requestClass;

    /**
     * When the final answer is due, on this program's clock; earlier than at first once a shutdown
     * began.
     */
    long answerBy;

    private final long acceptedAt;
    final List<Attempt> attempts = new ArrayList<>(2);
    final Client client;
    int pending;

    /** Answered, or the client is gone: nothing is owed and nothing new goes out. */
    boolean over;

    /** The number of the attempt that was answered, -1 before. */
    int winner = -1;

    /** Some attempt may have run. */
    boolean mayHaveRun;

    Future<?> lastCall;

    Exchange(
            long id,
            Ask ask,
            Api.RequestClass requestClass,
            long acceptedAt,
            long answerBy,
            Client client) {
        this.id = id;
        this.ask = ask;
        this.requestClass = requestClass;
        this.acceptedAt = acceptedAt;
        this.answerBy = answerBy;
        this.client = client;
    }

    /**
     * By how much its final answer is late now; waiting in line behind others' answers does not
     * count.
     */
    long lateness(long now) {
        return now - Math.max(acceptedAt, answerBy);
    }

    /** Closes the request; true the first time only, so that there is never a second answer. */
    boolean close() {
        boolean first = !over;
        over = true;
        if (first && lastCall != null) {
            lastCall.cancel(false);
        }
        return first;
    }
}
