package frostrelay.node.client;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.memcache.MalformedCommandException;
import frostrelay.node.memcache.MetaCommand;
import frostrelay.node.memcache.MetaCommandParser;
import frostrelay.node.memcache.MetaDecoder;
import frostrelay.node.memcache.MetaFrame;
import frostrelay.node.metrics.CloseReason;
import frostrelay.node.metrics.Counters;
import frostrelay.node.metrics.InvariantViolation;
import frostrelay.node.metrics.RejectionReason;
import frostrelay.node.net.MemoryLimiter;
import frostrelay.node.proxy.ActiveRequest;
import frostrelay.node.proxy.IdInUseException;
import frostrelay.node.proxy.RequestDispatcher;
import frostrelay.node.proxy.UpstreamResponse;
import frostrelay.node.proxy.ValueStream;
import frostrelay.node.time.Clock;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/** Clients' connections: reads commands and writes their answers in the order of the commands. */
public final class ClientListener {
    /** Requests of one connection that may be open at once; further ones wait to be begun. */
    private static final int MAX_PIPELINED = 64;

    /** Bytes of answers, over all connections, that clients may leave unread. */
    private static final long MAX_UNREAD_BYTES = 8L * 1024 * 1024;

    private static final int ACCEPT_BACKLOG = 1024;

    /**
     * Connections taken in one turn of the loop. All of them hold a descriptor before the first is
     * looked at, and one that is closed keeps it until the next turn: more at once than there is
     * room for run out of descriptors.
     */
    private static final int MAX_ACCEPTS_PER_TURN = 16;

    private static final long ACCEPT_RETRY_MILLIS = 20;

    /**
     * Reads of one connection before the loop turns to the next, lest one that floods starves the
     * others.
     */
    private static final int MAX_READS_PER_TURN = 4;

    private static final int MAX_READ_BYTES = 16 * 1024;

    /**
     * A first command, or one that has begun, must be whole within this time; good clients may need
     * 2 s.
     */
    private static final long COMMAND_TIMEOUT_NANOS = 2_500 * Clock.NANOS_PER_MILLISECOND;

    /**
     * A connection on which nothing has been asked for so long is closed; good clients ask far more
     * often.
     */
    private static final long IDLE_TIMEOUT_NANOS = 20 * Clock.NANOS_PER_SECOND;

    /**
     * A client that does not take the answer behind which its connection closes is not waited for
     * longer.
     */
    private static final long LAST_RESPONSE_TIMEOUT_NANOS = 2 * Clock.NANOS_PER_SECOND;

    /**
     * A client that has been sent the end of a connection closes it a way's time later; each that
     * does not holds a descriptor.
     */
    private static final long LINGER_NANOS = Clock.NANOS_PER_SECOND;

    /**
     * What comes on a connection that answers nothing more is passed over with such pauses: a flood
     * must not cost much.
     */
    private static final long DISCARD_PAUSE_MILLIS = 50;

    /** A connection that is read again is given this long before what waits of it is begun. */
    private static final long RESUMED_READ_DELAY_MILLIS = 2;

    /**
     * After a fault a connection is not read for this long, and after so many faults no more at
     * all.
     */
    private static final long PROTOCOL_ERROR_PAUSE_MILLIS = 50;

    private static final int MAX_PROTOCOL_ERRORS = 8;
    private static final WriteBufferWaterMark WATER_MARKS =
            new WriteBufferWaterMark(16 * 1024, 64 * 1024);

    /**
     * Pieces of long values, over all connections, that clients may leave waiting before hosts are
     * read no more.
     */
    private static final long MAX_STREAMED_BYTES = 6L * 1024 * 1024;

    /** A long value that neither end moves on for so long is given up. */
    private static final long VALUE_STALL_TIMEOUT_NANOS = 10 * Clock.NANOS_PER_SECOND;

    private static final byte[] CRLF = {'\r', '\n'};

    private final RequestDispatcher dispatcher;
    private final EventLoop loop;
    private final Counters counters;
    private final MemoryLimiter memoryLimiter;
    private final ConnectionLimiter<Connection> limiter;
    private final ReadAhead.BufferedTotal readAheadTotal = new ReadAhead.BufferedTotal();
    private Channel listeningChannel;
    private long unreadBytes;

    /** Bytes of long values that are written and not taken yet. */
    private long streamedBytes;

    private final ActionGuard guard;

    /**
     * {@code maxOverflow}: connections over {@code maxConnections} that are kept just to be
     * refused.
     */
    public ClientListener(
            RequestDispatcher dispatcher,
            EventLoop loop,
            Counters counters,
            MemoryLimiter memoryLimiter,
            ActionGuard guard,
            int maxConnections,
            int maxOverflow) {
        this.dispatcher = dispatcher;
        this.guard = guard;
        this.memoryLimiter = memoryLimiter;
        this.loop = loop;
        this.counters = counters;
        this.limiter = new ConnectionLimiter<>(loop, maxConnections, maxOverflow);
    }

    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bindFuture =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        // While an upgrade lasts, the old process and the new one listen here
                        // together.
                        .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .handler(new AcceptErrorHandler())
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new ServerChannelRecvByteBufAllocator()
                                        .maxMessagesPerRead(MAX_ACCEPTS_PER_TURN))
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                // Read on behind a short read: that is where the end of a
                                // connection shows.
                                new AdaptiveRecvByteBufAllocator(512, 2048, MAX_READ_BYTES)
                                        .respectMaybeMoreData(false)
                                        .maxMessagesPerRead(MAX_READS_PER_TURN))
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARKS)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel fresh) {
                                        MetaDecoder decoder =
                                                MetaDecoder.forCommands(memoryLimiter);
                                        Connection connection =
                                                new Connection((SocketChannel) fresh, decoder);
                                        fresh.pipeline()
                                                .addLast(connection.readAhead, decoder, connection);
                                    }
                                })
                        .bind(address);
        listeningChannel = bindFuture.channel();
        return bindFuture;
    }

    /** Takes no more connections. */
    public void stopListening() {
        if (listeningChannel != null) {
            listeningChannel.close();
        }
    }

    /**
     * From now on so many connections are held at most; idle ones make room as further ones come.
     */
    public void setMaxConnections(int maxConnections) {
        limiter.setMaxConnections(maxConnections);
    }

    public int connectionCount() {
        return limiter.size();
    }

    /**
     * Closes those that say nothing, stop halfway or have been idle for long: each holds a
     * descriptor and memory that others need. To be called a few times a second.
     */
    public void closeTimedOut() {
        long now = Clock.now();
        for (Connection connection : limiter.openConnections()) {
            connection.checkTimeouts(now);
        }
    }

    /**
     * An accept that fails, for want of descriptors, is tried again soon: it must not reach the
     * loop itself.
     */
    private final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            counters.warn("cannot accept: " + cause);
            ctx.channel().config().setAutoRead(false);
            loop.schedule(
                    () -> ctx.channel().config().setAutoRead(true),
                    ACCEPT_RETRY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** A command that was read, and when it came. */
    private record ReceivedCommand(MetaFrame frame, long atNanos) {}

    /** An answer has left. */
    private final class ResponseWriteListener implements ChannelFutureListener {
        private final int bytes;

        ResponseWriteListener(int bytes) {
            this.bytes = bytes;
        }

        @Override
        public void operationComplete(ChannelFuture done) {
            unreadBytes -= bytes;
        }
    }

    /** The place of one command in the order of answers. */
    private final class PendingResponse
            implements ActiveRequest.ResponseListener, ValueStream.Sink {
        private final Connection connection;
        private ByteBuf response;
        private MetaCommand command;
        private ActiveRequest activeRequest;

        /** The long value behind the answer, until its last piece has been written. */
        private ValueStream valueStream;

        /** The answer's line has been written and the value follows. */
        private boolean streaming;

        /** Pieces that the client has not taken yet, and when it last took one. */
        private int unsentBytes;

        private long lastProgressNanos;

        PendingResponse(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void onServed(UpstreamResponse upstreamResponse, ValueStream incomingValue) {
            String line =
                    command.isWrite()
                            ? "HD O" + command.id() + " c" + upstreamResponse.receipt() + "\r\n"
                            : "VA " + upstreamResponse.valueBytes() + " O" + command.id() + "\r\n";
            if (incomingValue == null) {
                respond(line, upstreamResponse.data());
            } else {
                streamValue(line, incomingValue);
            }
        }

        @Override
        public void onRejected(long retryAfterMillis) {
            respond(
                    retryAfterMillis > 0
                            ? "SERVER_ERROR busy " + retryAfterMillis + "\r\n"
                            : "SERVER_ERROR busy\r\n",
                    null);
        }

        @Override
        public long disconnectUndetectableSince(long now) {
            return connection.readAhead.disconnectUndetectableSince(now);
        }

        @Override
        public void onFailed() {
            respond("SERVER_ERROR failed\r\n", null);
        }

        void respond(String line, byte[] data) {
            if (!connection.disconnected) {
                response = MetaCommand.encodeLine(connection.channel.alloc(), line, data);
                unreadBytes += response.readableBytes();
                connection.flushCompletedResponses();
            }
        }

        private void streamValue(String line, ValueStream incomingValue) {
            if (connection.disconnected) {
                incomingValue.cancel();
                return;
            }
            valueStream = incomingValue;
            respond(line, null);
        }

        /** Its turn has come: the line is written, now the value. */
        private void startStreaming() {
            streaming = true;
            lastProgressNanos = Clock.now();
            valueStream.attach(this);
            adjustDemand();
        }

        /**
         * Reads the host on while its client takes what comes, and all of them together do not
         * leave too much.
         */
        private void adjustDemand() {
            if (streaming && valueStream != null) {
                valueStream.setDemand(
                        connection.channel.isWritable()
                                && (unsentBytes == 0 || streamedBytes < MAX_STREAMED_BYTES));
            }
        }

        @Override
        public void onChunk(ByteBuf chunk) {
            int chunkBytes = chunk.readableBytes();
            unsentBytes += chunkBytes;
            streamedBytes += chunkBytes;
            connection
                    .channel
                    .writeAndFlush(chunk)
                    .addListener(
                            done -> {
                                unsentBytes -= chunkBytes;
                                streamedBytes -= chunkBytes;
                                lastProgressNanos = Clock.now();
                                adjustDemand();
                            });
            adjustDemand();
        }

        @Override
        public void onStreamComplete() {
            valueStream = null;
            unreadBytes += 2;
            connection
                    .channel
                    .write(Unpooled.wrappedBuffer(CRLF))
                    .addListener(done -> unreadBytes -= 2);
            connection.onValueStreamed(this);
        }

        @Override
        public void onStreamFailed() {
            // Short of its length, and behind the end of the connection: the client can tell.
            valueStream = null;
            counters.truncatedValues++;
            connection.closeReason = CloseReason.VALUE_BROKEN;
            connection
                    .channel
                    .writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(ChannelFutureListener.CLOSE);
        }

        /** Whether neither end has moved for too long. */
        private boolean isStalled(long now) {
            return streaming
                    && valueStream != null
                    && now - lastProgressNanos > VALUE_STALL_TIMEOUT_NANOS;
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<MetaFrame>
            implements ReadAhead.Listener, ConnectionLimiter.LimitedConnection {
        private final SocketChannel channel;
        private final MetaDecoder decoder;
        private final ReadAhead readAhead = new ReadAhead(this, readAheadTotal, MAX_READS_PER_TURN);
        private final Queue<PendingResponse> pendingResponses = new ArrayDeque<>();

        /** Commands that have been read and not begun. */
        private final Queue<ReceivedCommand> receivedCommands = new ArrayDeque<>();

        /** When it came, fell idle or began to quit. */
        private long stateSinceNanos = Clock.now();

        /** When the command that is still coming in began; 0 if there is none. */
        private long partialCommandSinceNanos;

        /** A command has been begun since it was idle last. */
        private boolean usedSinceIdle;

        private boolean hasSentValidCommand;
        private int protocolErrorCount;
        private long readingPausedUntilNanos;
        private long dispatchDelayedUntilNanos;

        /** There was no room for it: all it gets is a refusal. */
        private boolean overCapacity;

        private boolean closing;

        /** The last answer is on its way and the end of our output behind it. */
        private boolean outputClosing;

        /** The output has ended; only the client's end is waited for. */
        private boolean outputShutdown;

        private boolean disconnected;

        /** Why this end closes the connection; null while it does not. */
        private CloseReason closeReason;

        /** Commands are being begun: answers wait until that is done. */
        private boolean dispatching;

        /** The task that begins commands is due. */
        private boolean dispatchScheduled;

        /** Made once: see {@link RequestDispatcher} on lambdas. */
        private final Runnable dispatchTask = this::dispatch;

        private final Runnable updateStateTask = this::updateState;

        Connection(SocketChannel channel, MetaDecoder decoder) {
            this.channel = channel;
            this.decoder = decoder;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (!limiter.admit(this)) {
                counters.recordClose(CloseReason.CONNECTION_REJECTED);
                disconnected = true;
                ctx.close();
            }
        }

        @Override
        public long stateSinceNanos() {
            return stateSinceNanos;
        }

        @Override
        public void rejectRequests() {
            overCapacity = true;
        }

        /**
         * Counted out now, as the channel reports its end only later: a burst would evict but one.
         */
        @Override
        public void evict() {
            limiter.remove(this);
            close(CloseReason.EVICTED);
        }

        /** To be closed as soon as all that was read from it is answered. */
        private boolean shouldClose() {
            return overCapacity || guard.isDraining();
        }

        /** Nothing that was read waits for its answer, or to be begun. */
        private boolean isIdle() {
            return pendingResponses.isEmpty() && receivedCommands.isEmpty() && readAhead.isEmpty();
        }

        private void markIdle() {
            // Asked again while it is idle, it keeps its place in the line.
            ConnectionLimiter.IdleState idleState =
                    hasSentValidCommand && protocolErrorCount == 0
                            ? ConnectionLimiter.IdleState.IDLE
                            : ConnectionLimiter.IdleState.UNPROVEN;
            if (limiter.markIdle(this, idleState) && usedSinceIdle) {
                usedSinceIdle = false;
                stateSinceNanos = Clock.now();
            }
        }

        private void close(CloseReason reason) {
            closeReason = closeReason == null ? reason : closeReason;
            if (!isIdle()) {
                checkNothingUnanswered(reason);
            }
            channel.close();
        }

        /**
         * What was read and is not answered must not end with the connection, unless the client
         * broke it or left.
         */
        private void checkNothingUnanswered(CloseReason reason) {
            if (reason.isInitiatedLocally()) {
                counters.recordViolation(
                        InvariantViolation.CLOSED_UNANSWERED,
                        reason
                                + ": "
                                + pendingResponses.size()
                                + " open, "
                                + receivedCommands.size()
                                + " read");
            }
        }

        /** Nothing more is begun; the connection ends behind the answers that are owed on it. */
        private void closeAfterResponses(CloseReason reason) {
            closing = true;
            closeReason = closeReason == null ? reason : closeReason;
        }

        private CloseReason gracefulCloseReason() {
            if (!guard.isDraining()) {
                return CloseReason.OVER_CONNECTION_LIMIT;
            }
            return guard.isShuttingDown() ? CloseReason.SHUTTING_DOWN : CloseReason.DRAINING;
        }

        void checkTimeouts(long now) {
            if (!pendingResponses.isEmpty() && pendingResponses.peek().isStalled(now)) {
                counters.truncatedValues++;
                close(CloseReason.VALUE_STALLED);
            } else if (isIdle()
                    && !outputClosing
                    && guard.mayCloseIdle(
                            now,
                            hasSentValidCommand,
                            stateSinceNanos,
                            partialCommandSinceNanos != 0)) {
                closeGracefully(gracefulCloseReason());
            } else if (outputClosing) {
                if (now - stateSinceNanos
                        > (outputShutdown ? LINGER_NANOS : LAST_RESPONSE_TIMEOUT_NANOS)) {
                    channel.close();
                }
            } else if (isIdle()) {
                boolean hasCommandTimedOut =
                        !hasSentValidCommand && now - stateSinceNanos > COMMAND_TIMEOUT_NANOS
                                || partialCommandSinceNanos != 0
                                        && now - partialCommandSinceNanos > COMMAND_TIMEOUT_NANOS;
                if (hasCommandTimedOut) {
                    closeGracefully(CloseReason.INCOMPLETE_COMMAND);
                } else if (now - stateSinceNanos > IDLE_TIMEOUT_NANOS) {
                    closeGracefully(CloseReason.IDLE);
                }
            }
        }

        private void closeGracefully(CloseReason reason) {
            closeAfterResponses(reason);
            updateState();
        }

        /** Bytes that wait keep a connection from being evicted: they may be a command. */
        @Override
        public void onBytesBuffered() {
            limiter.markBusy(this);
        }

        @Override
        public void onReadComplete(boolean hasBytes) {
            if (closing && hasBytes) {
                pauseReading(DISCARD_PAUSE_MILLIS);
            } else {
                scheduleDispatch();
            }
        }

        private void pauseReading(long millis) {
            readingPausedUntilNanos = Clock.now() + millis * Clock.NANOS_PER_MILLISECOND;
            setReading(false);
            loop.schedule(updateStateTask, millis, TimeUnit.MILLISECONDS);
        }

        private void setReading(boolean enabled) {
            if (!enabled) {
                readAhead.markPaused();
            } else if (readAhead.markResumed()) {
                // Its end may have come meanwhile: it is read before anything more of it is begun.
                dispatchDelayedUntilNanos =
                        Clock.now() + RESUMED_READ_DELAY_MILLIS * Clock.NANOS_PER_MILLISECOND;
                loop.schedule(updateStateTask, RESUMED_READ_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
            channel.config().setAutoRead(enabled);
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
            return !closing
                    && !readAhead.isBehind()
                    && pendingResponses.size() < MAX_PIPELINED
                    && channel.isWritable()
                    && Clock.now() >= Math.max(readingPausedUntilNanos, dispatchDelayedUntilNanos);
        }

        /**
         * Begins the commands that were read, once the reads of this turn are over: by then the end
         * of a connection that was closed behind them has been seen too, and what nobody waits for
         * any more is let drop. Guards against a queue of connections that all are dead by the time
         * they are accepted, each of which would cost as much as a live one: a slow start, a
         * stalled machine, any burst that clients give up on. Harm: a client that only closes its
         * sending side is not answered, as ever.
         */
        private void dispatch() {
            dispatchScheduled = false;
            if (disconnected) {
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
            if (!isIdle() || decoder.isAtFrameBoundary()) {
                partialCommandSinceNanos = 0;
            } else if (partialCommandSinceNanos == 0) {
                partialCommandSinceNanos = Clock.now();
            }
            dispatching = false;
            flushCompletedResponses();
        }

        private void dispatch(ReceivedCommand next) {
            MetaFrame frame = next.frame;
            usedSinceIdle = true;
            PendingResponse pendingResponse = new PendingResponse(this);
            pendingResponses.add(pendingResponse);
            if (frame.errorResponse() != null) {
                rejectMalformed(pendingResponse, frame.errorResponse(), frame.endsStream());
            } else {
                execute(pendingResponse, next);
            }
        }

        /**
         * Answers what cannot be served. Nothing behind a fault of framing is read; behind any
         * other one reading rests, so that a client which sends the same again at once takes no
         * time from the others.
         */
        private void rejectMalformed(
                PendingResponse pendingResponse, String errorResponse, boolean last) {
            counters.malformed++;
            protocolErrorCount++;
            if (last || protocolErrorCount >= MAX_PROTOCOL_ERRORS) {
                closeAfterResponses(CloseReason.PROTOCOL_ERROR);
            }
            pauseReading(PROTOCOL_ERROR_PAUSE_MILLIS);
            pendingResponse.respond(errorResponse + "\r\n", null);
        }

        private void execute(PendingResponse pendingResponse, ReceivedCommand next) {
            switch (next.frame.tokens().get(0)) {
                case "mg", "ms" -> handleRequest(pendingResponse, next);
                case "mn" -> {
                    hasSentValidCommand = true;
                    boolean isDraining = guard.isDraining() && !guard.isShuttingDown();
                    pendingResponse.respond(
                            isDraining ? "SERVER_ERROR draining\r\n" : "MN\r\n", null);
                }
                case "quit" -> {
                    pendingResponses.remove(pendingResponse);
                    closeAfterResponses(CloseReason.CLIENT_QUIT);
                }
                default -> rejectMalformed(pendingResponse, "ERROR", false);
            }
        }

        private void handleRequest(PendingResponse pendingResponse, ReceivedCommand next) {
            RejectionReason rejection = rejectionReason(Clock.now());
            if (rejection != null) {
                counters.rejected(rejection);
                pendingResponse.respond("SERVER_ERROR busy\r\n", null);
                return;
            }
            try {
                pendingResponse.command =
                        MetaCommandParser.parse(next.frame, dispatcher.deploymentSettings());
                pendingResponse.activeRequest =
                        dispatcher.accept(pendingResponse.command, next.atNanos, pendingResponse);
                hasSentValidCommand = true;
            } catch (MalformedCommandException e) {
                rejectMalformed(pendingResponse, e.getMessage(), false);
            } catch (IdInUseException e) {
                rejectMalformed(pendingResponse, "CLIENT_ERROR " + e.getMessage(), false);
            }
        }

        /** Why no request of this connection is accepted now; null if they are. */
        private RejectionReason rejectionReason(long now) {
            if (overCapacity) {
                return RejectionReason.NO_CONNECTION_CAPACITY;
            }
            if (!guard.mayAccept(now)) {
                return RejectionReason.NOT_ACCEPTING;
            }
            return guard.isClientUnobserved(now, readAhead.disconnectUndetectableSince(now))
                    ? RejectionReason.CLIENT_UNOBSERVED
                    : null;
        }

        /** Writes the answers that no earlier command has to come before. */
        void flushCompletedResponses() {
            if (dispatching || disconnected) {
                return;
            }
            boolean hasWritten = false;
            while (!pendingResponses.isEmpty()
                    && pendingResponses.peek().response != null
                    && !pendingResponses.peek().streaming) {
                PendingResponse pendingResponse = pendingResponses.peek();
                hasWritten = true;
                if (pendingResponse.valueStream == null) {
                    pendingResponses.poll();
                    write(pendingResponse);
                } else {
                    write(pendingResponse);
                    pendingResponse.startStreaming();
                }
            }
            if (hasWritten) {
                channel.flush();
                // Its client has just been answered: nothing is on the way that a close could
                // cross.
                closeIfRequired();
            }
            updateState();
        }

        private void closeIfRequired() {
            if (shouldClose() && isIdle()) {
                closeAfterResponses(gracefulCloseReason());
            }
        }

        private void write(PendingResponse pendingResponse) {
            int responseBytes = pendingResponse.response.readableBytes();
            channel.write(pendingResponse.response)
                    .addListener(new ResponseWriteListener(responseBytes));
        }

        /** The long value of the first slot has been passed on whole. */
        private void onValueStreamed(PendingResponse pendingResponse) {
            pendingResponses.remove(pendingResponse);
            channel.flush();
            closeIfRequired();
            if (dispatching) {
                return;
            }
            flushCompletedResponses();
        }

        /**
         * Begins what waits, reads on, stops reading, or leaves, as its open requests and its
         * client's reading allow.
         */
        void updateState() {
            if (disconnected) {
                return;
            }
            if (closing) {
                if (!receivedCommands.isEmpty() || !readAhead.isEmpty()) {
                    checkNothingUnanswered(closeReason);
                }
                receivedCommands.clear();
                readAhead.discard();
            }
            if (closing && pendingResponses.isEmpty() && !outputClosing) {
                shutdownOutput();
            } else if (unreadBytes > MAX_UNREAD_BYTES && !channel.isWritable()) {
                // A client that does not read its answers must not take the memory of the others.
                close(CloseReason.RESPONSES_UNREAD);
                return;
            }
            setReading(readAhead.hasCapacity() && Clock.now() >= readingPausedUntilNanos);
            if (isIdle() && !outputClosing) {
                markIdle();
            } else if ((!receivedCommands.isEmpty() || !readAhead.isEmpty()) && canDispatch()) {
                scheduleDispatch();
            }
        }

        /**
         * Shuts the output behind what is still being written and reads on until the client has
         * closed as well, for a while: a close over bytes that were not read resets the connection,
         * and its client loses the last answer. What is read from now on is passed over, and its
         * client sends it again elsewhere.
         */
        private void shutdownOutput() {
            outputClosing = true;
            stateSinceNanos = Clock.now();
            limiter.markBusy(this);
            limiter.markIdle(this, ConnectionLimiter.IdleState.CLOSING);
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(
                            flushFuture ->
                                    channel.shutdownOutput()
                                            .addListener(
                                                    shutdownFuture -> {
                                                        outputShutdown = true;
                                                        stateSinceNanos = Clock.now();
                                                        if (!shutdownFuture.isSuccess()) {
                                                            channel.close();
                                                        }
                                                    }));
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (!pendingResponses.isEmpty()) {
                pendingResponses.peek().adjustDemand();
            }
            updateState();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!disconnected) {
                recordClose();
            }
            disconnected = true;
            limiter.remove(this);
            receivedCommands.clear();
            for (PendingResponse pendingResponse : pendingResponses) {
                if (pendingResponse.valueStream != null) {
                    pendingResponse.valueStream.cancel();
                }
                if (pendingResponse.streaming) {
                    continue;
                }
                if (pendingResponse.response != null) {
                    unreadBytes -= pendingResponse.response.readableBytes();
                    pendingResponse.response.release();
                } else if (pendingResponse.activeRequest != null) {
                    dispatcher.onClientDisconnect(pendingResponse.activeRequest);
                }
            }
            pendingResponses.clear();
        }

        private void recordClose() {
            CloseReason reason = closeReason == null ? CloseReason.CLIENT_CLOSED : closeReason;
            counters.recordClose(reason);
            if (Log.isEnabled(Event.CLIENT_CLOSED)) {
                Log.write(
                        Event.CLIENT_CLOSED,
                        channel.remoteAddress(),
                        reason,
                        pendingResponses.size());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                counters.logUnexpected("on a client's connection", cause);
            }
            close(CloseReason.CONNECTION_ERROR);
        }
    }
}
