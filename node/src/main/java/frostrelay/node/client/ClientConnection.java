package frostrelay.node.client;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.memcache.MetaDecoder;
import frostrelay.node.memcache.MetaFrame;
import frostrelay.node.metrics.CloseReason;
import frostrelay.node.metrics.Counters;
import frostrelay.node.net.MemoryAccount;
import frostrelay.node.net.TrafficMemory;
import frostrelay.node.proxy.RequestDispatcher;
import frostrelay.node.time.Clock;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;

import java.io.IOException;

/**
 * A connection of a client. Starts the client's commands, writes their responses in order, and
 * closes the connection without losing a response. {@link ConnectionLifecycle} holds the state of
 * the close. Runs on the event loop.
 */
final class ClientConnection extends SimpleChannelInboundHandler<MetaFrame>
        implements ReadAhead.Listener, ConnectionLimiter.LimitedConnection {
    /**
     * The pause between reads of a connection that is being closed and discards its input, which
     * limits the cost of a flood on it.
     */
    private static final long DISCARD_PAUSE_MILLIS = 50;

    /** Commands started in a row, so that many pipelined commands do not delay other clients. */
    private static final int MAX_COMMANDS_PER_DISPATCH = 8;

    private final SocketChannel channel;
    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final Counters counters;
    private final ActionGuard guard;
    private final ConnectionLimiter<ClientConnection> limiter;
    private final MemoryAccount responseAccount;
    private final OutputQueue output;
    private final ReadAhead readAhead;
    private final CommandQueue commands;
    private final ReadPauses readPauses;
    private final CommandExecutor executor;
    private final ConnectionLifecycle lifecycle;
    private final PendingResponses pendingResponses;
    private final ConnectionTimeouts timeouts = new ConnectionTimeouts();

    /** Whether a command has been started since the connection was last idle. */
    private boolean usedSinceIdle;

    /** Whether the connection exceeds the connection limit, so that its requests are rejected. */
    private boolean overCapacity;

    /** Whether commands are being started; responses are written after that. */
    private boolean dispatching;

    /** Whether {@link #dispatchTask} is scheduled. */
    private boolean dispatchScheduled;

    /** Created once, because creating a lambda is slow without the C2 compiler. */
    private final Runnable dispatchTask = this::dispatch;

    ClientConnection(
            SocketChannel channel,
            MetaDecoder decoder,
            ClientListener listener,
            TrafficMemory memory,
            int maxReadsPerIteration) {
        this.channel = channel;
        this.loop = listener.loop();
        this.dispatcher = listener.dispatcher();
        this.counters = listener.counters();
        this.guard = listener.guard();
        this.limiter = listener.limiter();
        this.responseAccount = new MemoryAccount(memory.responses());
        this.output =
                new OutputQueue(
                        channel,
                        responseAccount,
                        new MemoryAccount(memory.outputBuffers()),
                        this::onOutputProgress);
        this.readAhead =
                new ReadAhead(this, new MemoryAccount(memory.clientInput()), maxReadsPerIteration);
        this.commands = new CommandQueue(readAhead, decoder);
        this.readPauses = new ReadPauses(channel, readAhead, loop, this::updateState);
        this.executor = new CommandExecutor(this, readPauses, dispatcher, counters, guard);
        this.lifecycle = new ConnectionLifecycle(counters, guard);
        this.pendingResponses = new PendingResponses(output);
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
     * Closes this connection and removes it from the limiter immediately. The channel reports the
     * close only later, and a burst of new connections would otherwise evict this one repeatedly.
     */
    @Override
    public void evict() {
        limiter.remove(this);
        close(CloseReason.EVICTED);
    }

    /** Returns whether no received bytes or commands are waiting and no response is pending. */
    private boolean isIdle() {
        return pendingResponses.isEmpty() && commands.isEmpty();
    }

    private void markIdle() {
        ConnectionLimiter.IdleState idleState =
                executor.isProven()
                        ? ConnectionLimiter.IdleState.IDLE
                        : ConnectionLimiter.IdleState.UNPROVEN;
        // A connection that is already idle keeps its position in the eviction order.
        if (limiter.markIdle(this, idleState) && usedSinceIdle) {
            usedSinceIdle = false;
            timeouts.restart();
        }
    }

    /** Closes the connection if a timeout has expired or if it is idle during a drain. */
    void checkTimeouts(long now) {
        output.retryWrite();
        if (pendingResponses.isStalled(now)) {
            counters.truncatedValues++;
            close(CloseReason.VALUE_STALLED);
        } else if (output.mustYield(now)) {
            close(CloseReason.RESPONSES_UNREAD);
        } else if (lifecycle.state().isOutputClosing()) {
            if (timeouts.isCloseOverdue(now, lifecycle.state())) {
                channel.close();
            }
        } else if (isIdle()) {
            checkIdleTimeouts(now);
        }
    }

    /** Returns how far the transfer of the responses is behind; see {@link PendingResponses}. */
    long transferBehindNanos(long now) {
        return pendingResponses.transferBehindNanos(now);
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

    /** Protects the connection from eviction, because the buffered bytes may be a command. */
    @Override
    public void onBytesBuffered(int bytes) {
        timeouts.onBytesRead(Clock.now(), bytes);
        limiter.markBusy(this);
        if (!readAhead.hasCapacity()) {
            readPauses.update();
        }
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
        commands.addDecoded(frame);
    }

    private void scheduleDispatch() {
        if (!dispatchScheduled) {
            dispatchScheduled = true;
            loop.execute(dispatchTask);
        }
    }

    private boolean canDispatch() {
        return !lifecycle.state().isClosing()
                && !readAhead.mayHaveUnreadBytes()
                && !pendingResponses.isFull()
                && output.hasCapacity()
                && readPauses.allowsDispatch();
    }

    /**
     * Starts the received commands after the reads of this event loop iteration. If the client
     * closed the connection after its commands, the close has then been read as well, and the
     * commands are dropped. Otherwise, after a slow start, a stall of the machine or a burst,
     * queued commands of disconnected clients would cost as much as commands of connected ones. As
     * a consequence, a client that closes only its sending side gets no response.
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
        for (int i = 0; i < MAX_COMMANDS_PER_DISPATCH && canDispatch(); i++) {
            ReceivedCommand next = commands.poll();
            if (next == null) {
                break;
            }
            dispatch(next);
        }
        dispatching = false;
        flushCompletedResponses();
    }

    private void dispatch(ReceivedCommand next) {
        usedSinceIdle = true;
        PendingResponse pendingResponse = new PendingResponse(this, output, responseAccount);
        pendingResponses.add(pendingResponse);
        executor.execute(pendingResponse, next);
    }

    /** Writes the completed responses up to the first one that is still pending. */
    void flushCompletedResponses() {
        if (dispatching || isDisconnected()) {
            return;
        }
        if (pendingResponses.writeCompleted()) {
            output.flush();
            closeIfRequired();
        }
        updateState();
    }

    /** Called when the long value of the first response has been written completely. */
    void onValueStreamed(PendingResponse pendingResponse) {
        pendingResponses.remove(pendingResponse);
        output.flush();
        closeIfRequired();
        if (!dispatching) {
            flushCompletedResponses();
        }
    }

    /** Called when a long value cannot be completed; the response closes the connection. */
    void onValueTruncated() {
        counters.truncatedValues++;
        lifecycle.onValueTruncated();
        output.whenEmpty(channel::close);
    }

    private void onOutputProgress() {
        pendingResponses.onOutputProgress();
        updateState();
    }

    /** Handles the quit command, which has no response and closes the connection. */
    void quit(PendingResponse pendingResponse) {
        pendingResponses.remove(pendingResponse);
        closeAfterResponses(CloseReason.CLIENT_QUIT);
    }

    /** Stops starting commands, and closes the connection after the pending responses. */
    void closeAfterResponses(CloseReason reason) {
        lifecycle.startClosing(reason);
    }

    /**
     * Closes the connection if it is idle and either exceeds the limit or is to be drained. Must be
     * called immediately after a response, when no further request can be in transit.
     */
    private void closeIfRequired() {
        if ((overCapacity || guard.isDraining()) && isIdle() && !commands.endsInPartialCommand()) {
            closeAfterResponses(lifecycle.gracefulCloseReason());
        }
    }

    private void close(CloseReason reason) {
        lifecycle.setCloseReason(reason);
        if (!isIdle()) {
            lifecycle.recordUnanswered(reason, pendingResponses, commands);
        }
        channel.close();
    }

    /**
     * Starts waiting commands, resumes or pauses reading, or closes the connection, depending on
     * the open requests and on how fast the client reads its responses.
     */
    private void updateState() {
        if (isDisconnected()) {
            return;
        }
        if (lifecycle.state().isClosing()) {
            lifecycle.discard(commands, pendingResponses);
        }
        if (lifecycle.state() == ConnectionState.CLOSING && pendingResponses.isEmpty()) {
            shutdownOutput();
        }
        readPauses.update();
        timeouts.setPartialCommand(Clock.now(), isIdle() && commands.endsInPartialCommand());
        if (isIdle() && !lifecycle.state().isOutputClosing()) {
            markIdle();
        } else if (!commands.isEmpty() && canDispatch()) {
            scheduleDispatch();
        }
    }

    /**
     * Shuts the output down after the pending writes, and keeps reading until the client has closed
     * its side, for a limited time: closing a connection with unread bytes would reset it, and the
     * client could lose the last response. Input that is read from now on is discarded.
     */
    private void shutdownOutput() {
        lifecycle.onOutputClosing();
        timeouts.restart();
        limiter.markBusy(this);
        limiter.markIdle(this, ConnectionLimiter.IdleState.CLOSING);
        output.whenEmpty(
                () ->
                        channel.shutdownOutput()
                                .addListener(shutdown -> onOutputShutdown(shutdown.isSuccess())));
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
        commands.discard();
        pendingResponses.onDisconnect(dispatcher);
        output.discard();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            counters.logUnexpected("on a client's connection", cause);
        }
        close(CloseReason.CONNECTION_ERROR);
    }
}
