package frostrelay.node.client;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.memcache.MetaDecoder;
import frostrelay.node.memcache.MetaFrame;
import frostrelay.node.metrics.CloseReason;
import frostrelay.node.metrics.Counters;
import frostrelay.node.proxy.RequestDispatcher;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * One connection of a client: begins its commands, writes their responses in order, and closes it
 * so that no response is lost. Its end is described by {@link ConnectionLifecycle}. Runs on the
 * event loop.
 */
final class ClientConnection extends SimpleChannelInboundHandler<MetaFrame>
        implements ReadAhead.Listener, ConnectionLimiter.LimitedConnection {
    /**
     * Pause between the reads of a connection that responds to nothing any more, so that a flood on
     * it costs little.
     */
    private static final long DISCARD_PAUSE_MILLIS = 50;

    private final SocketChannel channel;
    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final Counters counters;
    private final ActionGuard guard;
    private final ConnectionLimiter<ClientConnection> limiter;
    private final ResponseMemory responseMemory;
    private final MetaDecoder decoder;
    private final ReadAhead readAhead;
    private final ReadPauses readPauses;
    private final CommandExecutor executor;
    private final ConnectionLifecycle lifecycle;
    private final PendingResponses pendingResponses;
    private final ConnectionTimeouts timeouts = new ConnectionTimeouts();

    /** Commands that have been read and not begun. */
    private final Queue<ReceivedCommand> receivedCommands = new ArrayDeque<>();

    /** Whether a command has been begun since it was idle last. */
    private boolean usedSinceIdle;

    /** Whether it exceeds the connection limit, so that its requests are rejected. */
    private boolean overCapacity;

    /** Whether commands are being begun: responses wait until that is done. */
    private boolean dispatching;

    /** Whether {@link #dispatchTask} is due. */
    private boolean dispatchScheduled;

    /** Made once: a lambda is slow to make without the second compiler. */
    private final Runnable dispatchTask = this::dispatch;

    ClientConnection(
            SocketChannel channel,
            MetaDecoder decoder,
            ClientListener listener,
            ReadAhead.BufferedTotal readAheadTotal,
            int maxReadsPerTurn) {
        this.channel = channel;
        this.decoder = decoder;
        this.loop = listener.loop();
        this.dispatcher = listener.dispatcher();
        this.counters = listener.counters();
        this.guard = listener.guard();
        this.limiter = listener.limiter();
        this.responseMemory = listener.responseMemory();
        this.readAhead = new ReadAhead(this, readAheadTotal, maxReadsPerTurn);
        this.readPauses = new ReadPauses(channel, readAhead, loop, this::updateState);
        this.executor = new CommandExecutor(this, readPauses, dispatcher, counters, guard);
        this.lifecycle = new ConnectionLifecycle(counters, guard);
        this.pendingResponses = new PendingResponses(channel, responseMemory);
    }

    SocketChannel channel() {
        return channel;
    }

    ReadAhead readAhead() {
        return readAhead;
    }

    boolean isDisconnected() {
        return lifecycle.state() == ConnectionState.DISCONNECTED;
    }

    boolean isOverCapacity() {
        return overCapacity;
    }

    long disconnectUndetectableSince(long now) {
        return readAhead.disconnectUndetectableSince(now);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (!limiter.admit(this)) {
            lifecycle.onNotAdmitted();
            ctx.close();
        }
    }

    @Override
    public long stateSinceNanos() {
        return timeouts.stateSinceNanos();
    }

    @Override
    public void rejectRequests() {
        overCapacity = true;
    }

    /**
     * Removed from the limiter at once, as the channel reports its end only later: a burst of new
     * connections would otherwise evict this one repeatedly.
     */
    @Override
    public void evict() {
        limiter.remove(this);
        close(CloseReason.EVICTED);
    }

    /** Whether nothing that was read waits for its response, or to be begun. */
    private boolean isIdle() {
        return pendingResponses.isEmpty() && receivedCommands.isEmpty() && readAhead.isEmpty();
    }

    private void markIdle() {
        ConnectionLimiter.IdleState idleState =
                executor.isProven()
                        ? ConnectionLimiter.IdleState.IDLE
                        : ConnectionLimiter.IdleState.UNPROVEN;
        // A connection that is idle already keeps its place in the order of eviction.
        if (limiter.markIdle(this, idleState) && usedSinceIdle) {
            usedSinceIdle = false;
            timeouts.restart();
        }
    }

    /** Closes the connection if one of its timeouts has expired or it is to be drained. */
    void checkTimeouts(long now) {
        if (pendingResponses.isStalled(now)) {
            counters.truncatedValues++;
            close(CloseReason.VALUE_STALLED);
        } else if (lifecycle.state().isOutputClosing()) {
            if (timeouts.isCloseOverdue(now, lifecycle.state())) {
                channel.close();
            }
        } else if (isIdle()) {
            checkIdleTimeouts(now);
        }
    }

    private void checkIdleTimeouts(long now) {
        boolean mayDrain =
                guard.mayCloseIdle(
                        now,
                        executor.hasSentValidCommand(),
                        timeouts.stateSinceNanos(),
                        timeouts.hasPartialCommand());
        CloseReason reason =
                mayDrain
                        ? lifecycle.gracefulCloseReason()
                        : timeouts.expiredTimeout(now, executor.hasSentValidCommand());
        if (reason != null) {
            closeAfterResponses(reason);
            updateState();
        }
    }

    /** Bytes that wait keep a connection from being evicted: they may be a command. */
    @Override
    public void onBytesBuffered() {
        limiter.markBusy(this);
    }

    @Override
    public void onReadComplete(boolean hasBytes) {
        if (lifecycle.state().isClosing() && hasBytes) {
            readPauses.pause(DISCARD_PAUSE_MILLIS);
        } else {
            scheduleDispatch();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, MetaFrame frame) {
        receivedCommands.add(new ReceivedCommand(frame, readAhead.arrivedAtNanos()));
    }

    private void scheduleDispatch() {
        if (!dispatchScheduled) {
            dispatchScheduled = true;
            loop.execute(dispatchTask);
        }
    }

    private boolean canDispatch() {
        return !lifecycle.state().isClosing()
                && !readAhead.isBehind()
                && !pendingResponses.isFull()
                && channel.isWritable()
                && readPauses.allowsDispatch();
    }

    /**
     * Begins the commands that were read, once the reads of this turn of the loop are over: by then
     * the end of a connection that was closed behind its commands has been read too, and they are
     * dropped. Otherwise, after a slow start, a stall of the machine or a burst, a queue of
     * commands whose clients have all disconnected would cost as much as live ones. As a
     * consequence a client that closes only its sending side gets no response.
     */
    private void dispatch() {
        dispatchScheduled = false;
        if (isDisconnected()) {
            return;
        }
        if (!channel.isActive()) {
            counters.abandonedCommands += isIdle() ? 0 : 1;
            return;
        }
        dispatching = true;
        while (canDispatch() && (!receivedCommands.isEmpty() || readAhead.feedDecoder())) {
            ReceivedCommand next = receivedCommands.poll();
            if (next != null) {
                dispatch(next);
            }
        }
        timeouts.setPartialCommand(isIdle() && !decoder.isAtFrameBoundary());
        dispatching = false;
        flushCompletedResponses();
    }

    private void dispatch(ReceivedCommand next) {
        usedSinceIdle = true;
        PendingResponse pendingResponse = new PendingResponse(this, responseMemory);
        pendingResponses.add(pendingResponse);
        executor.execute(pendingResponse, next);
    }

    /** Writes the responses that no earlier one has to precede. */
    void flushCompletedResponses() {
        if (dispatching || isDisconnected()) {
            return;
        }
        if (pendingResponses.writeCompleted()) {
            channel.flush();
            closeIfRequired();
        }
        updateState();
    }

    /** The long value of the first response has been written completely. */
    void onValueStreamed(PendingResponse pendingResponse) {
        pendingResponses.remove(pendingResponse);
        channel.flush();
        closeIfRequired();
        if (!dispatching) {
            flushCompletedResponses();
        }
    }

    /** The long value of a response will not become complete; the connection is being closed. */
    void onValueBroken() {
        counters.truncatedValues++;
        lifecycle.onValueBroken();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        pendingResponses.onWritabilityChanged();
        updateState();
    }

    /** The client asks for the end of the connection; this command has no response. */
    void quit(PendingResponse pendingResponse) {
        pendingResponses.remove(pendingResponse);
        closeAfterResponses(CloseReason.CLIENT_QUIT);
    }

    /** Begins no more commands; the connection closes behind the responses that are due. */
    void closeAfterResponses(CloseReason reason) {
        lifecycle.startClosing(reason);
    }

    /**
     * Closes a connection that is over capacity or to be drained. To be called right after a
     * response: then no request can be on its way that the close would cross.
     */
    private void closeIfRequired() {
        if ((overCapacity || guard.isDraining()) && isIdle()) {
            closeAfterResponses(lifecycle.gracefulCloseReason());
        }
    }

    private void close(CloseReason reason) {
        lifecycle.setCloseReason(reason);
        if (!isIdle()) {
            recordUnanswered(reason);
        }
        channel.close();
    }

    private void recordUnanswered(CloseReason reason) {
        lifecycle.recordUnanswered(reason, pendingResponses.size(), receivedCommands.size());
    }

    /**
     * Begins waiting commands, reads on, pauses reading, or closes, as the open requests and the
     * client's reading of responses allow.
     */
    private void updateState() {
        if (isDisconnected()) {
            return;
        }
        if (lifecycle.state().isClosing()) {
            discardCommands();
        }
        if (lifecycle.state() == ConnectionState.CLOSING && pendingResponses.isEmpty()) {
            shutdownOutput();
        } else if (responseMemory.isUnreadLimitExceeded() && !channel.isWritable()) {
            // A client that does not read its responses must not use up the memory.
            close(CloseReason.RESPONSES_UNREAD);
            return;
        }
        readPauses.update();
        if (isIdle() && !lifecycle.state().isOutputClosing()) {
            markIdle();
        } else if ((!receivedCommands.isEmpty() || !readAhead.isEmpty()) && canDispatch()) {
            scheduleDispatch();
        }
    }

    private void discardCommands() {
        if (!receivedCommands.isEmpty() || !readAhead.isEmpty()) {
            recordUnanswered(lifecycle.closeReason());
        }
        receivedCommands.clear();
        readAhead.discard();
    }

    /**
     * Shuts the output down behind what is still being written and reads on until the client has
     * closed as well, for a limited time: closing over unread bytes would reset the connection, and
     * the client would lose the last response. What is read from now on is discarded; the client
     * sends it again on another connection.
     */
    private void shutdownOutput() {
        lifecycle.onOutputClosing();
        timeouts.restart();
        limiter.markBusy(this);
        limiter.markIdle(this, ConnectionLimiter.IdleState.CLOSING);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(
                        flushed ->
                                channel.shutdownOutput()
                                        .addListener(
                                                shutdown ->
                                                        onOutputShutdown(shutdown.isSuccess())));
    }

    private void onOutputShutdown(boolean succeeded) {
        lifecycle.onOutputShutdown();
        timeouts.restart();
        if (!succeeded) {
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        lifecycle.onDisconnect(channel, pendingResponses.size());
        limiter.remove(this);
        receivedCommands.clear();
        pendingResponses.onDisconnect(dispatcher);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            counters.logUnexpected("on a client's connection", cause);
        }
        close(CloseReason.CONNECTION_ERROR);
    }
}
