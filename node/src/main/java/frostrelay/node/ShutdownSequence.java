package frostrelay.node;

import frostrelay.node.client.ClientListener;
import frostrelay.node.lifecycle.DrainSchedule;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.metrics.Counters;
import frostrelay.node.metrics.InvariantViolation;
import frostrelay.node.proxy.RequestDispatcher;
import frostrelay.node.time.Clock;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import java.util.concurrent.TimeUnit;

/**
 * The graceful shutdown of a node once its drain is scheduled: stops listening, waits until every
 * request is answered and every client disconnected, or at the end of the schedule until no
 * response is being passed on any more, and logs the progress. Runs on the event loop, once.
 */
final class ShutdownSequence {
    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final long PROGRESS_INTERVAL_NANOS = 500 * Clock.NANOS_PER_MILLISECOND;
    private static final int MAX_LISTED_REQUESTS = 10;

    private final EventLoop loop;
    private final ClientListener clientListener;
    private final RequestDispatcher dispatcher;
    private final Counters counters;
    private final long requestedAtNanos;
    private final DrainSchedule schedule;

    /** Runs before {@link #ended} is completed, as the process may exit at once after that. */
    private final Runnable onEnd;

    private final Promise<Void> answered;
    private final Promise<Void> ended;

    /** Elapsed time of the shutdown when its progress was last logged. */
    private long progressLoggedAtNanos;

    ShutdownSequence(
            EventLoop loop,
            ClientListener clientListener,
            RequestDispatcher dispatcher,
            Counters counters,
            long requestedAtNanos,
            DrainSchedule schedule,
            Runnable onEnd) {
        this.loop = loop;
        this.clientListener = clientListener;
        this.dispatcher = dispatcher;
        this.counters = counters;
        this.requestedAtNanos = requestedAtNanos;
        this.schedule = schedule;
        this.onEnd = onEnd;
        this.answered = loop.newPromise();
        this.ended = loop.newPromise();
    }

    /**
     * Returns a future that is completed when all requests have been answered and only responses
     * may be left that are being passed on: the process gives up what another process of the same
     * balancer needs.
     */
    Future<Void> answered() {
        return answered;
    }

    /** Returns a future that is completed when the process may exit; not before the other one. */
    Future<Void> ended() {
        return ended;
    }

    /**
     * Starts the sequence.
     *
     * @param isReplaced whether another process of this balancer listens, so that there is no need
     *     to wait for new clients
     */
    void start(boolean isReplaced) {
        // Connections in the listening socket's accept queue are handled first, as closing the
        // socket
        // would reset them.
        long listenForNanos =
                isReplaced
                        ? POLL_INTERVAL_MILLIS * Clock.NANOS_PER_MILLISECOND
                        : schedule.acceptUntilNanos() - Clock.now();
        loop.schedule(this::stopListening, Math.max(0, listenForNanos), TimeUnit.NANOSECONDS);
    }

    private void stopListening() {
        clientListener.stopListening();
        awaitQuiescence();
    }

    private void awaitQuiescence() {
        boolean isQuiescent =
                clientListener.connectionCount() == 0 && dispatcher.openRequestCount() == 0;
        long now = Clock.now();
        if (isQuiescent || now >= schedule.exitAtNanos()) {
            // Every request has been answered; only clients that have not read all can be left.
            recordUnanswered();
            answered.trySuccess(null);
        }
        if (isQuiescent || schedule.mustExit(now, clientListener.leastTransferBehindNanos())) {
            onEnd.run();
            ended.setSuccess(null);
        } else {
            logProgress();
            loop.schedule(this::awaitQuiescence, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void recordUnanswered() {
        if (!answered.isDone() && dispatcher.openRequestCount() > 0) {
            counters.recordViolation(
                    InvariantViolation.UNANSWERED,
                    "at the end of the process: " + dispatcher.openRequests(MAX_LISTED_REQUESTS));
        }
    }

    private void logProgress() {
        long elapsedNanos = Clock.now() - requestedAtNanos;
        if (elapsedNanos >= progressLoggedAtNanos + PROGRESS_INTERVAL_NANOS) {
            progressLoggedAtNanos = elapsedNanos;
            Log.write(
                    Event.SHUTDOWN_PROGRESS,
                    elapsedNanos / Clock.NANOS_PER_MILLISECOND,
                    clientListener.connectionCount(),
                    dispatcher.openRequestCount(),
                    dispatcher.openRequests(MAX_LISTED_REQUESTS));
        }
    }
}
