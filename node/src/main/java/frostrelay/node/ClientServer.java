package frostrelay.node;

import frostrelay.lifecycle.ActionGuard;
import frostrelay.log.Event;
import frostrelay.log.Log;

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
final class ClientServer {
    /** Requests of one connection that may be open at once; further ones wait to be begun. */
    private static final int MOST_PIPELINED = 64;

    /** Bytes of answers, over all connections, that clients may leave unread. */
    private static final long MOST_UNREAD = 8L * 1024 * 1024;

    private static final int BACKLOG = 1024;

    /**
     * Connections taken in one turn of the loop. All of them hold a descriptor before the first is
     * looked at, and one that is closed keeps it until the next turn: more at once than there is
     * room for run out of descriptors.
     */
    private static final int ACCEPTS_AT_ONCE = 16;

    private static final long ACCEPT_AGAIN_MS = 20;

    /**
     * Reads of one connection before the loop turns to the next, lest one that floods starves the
     * others.
     */
    private static final int READS_AT_ONCE = 4;

    private static final int MOST_READ = 16 * 1024;

    /**
     * A first command, or one that has begun, must be whole within this time; good clients may need
     * 2 s.
     */
    private static final long COMMAND_NS = 2_500 * Clock.MILLISECOND;

    /**
     * A connection on which nothing has been asked for so long is closed; good clients ask far more
     * often.
     */
    private static final long IDLE_NS = 20 * Clock.SECOND;

    /**
     * A client that does not take the answer behind which its connection closes is not waited for
     * longer.
     */
    private static final long FAREWELL_NS = 2 * Clock.SECOND;

    /**
     * A client that has been sent the end of a connection closes it a way's time later; each that
     * does not holds a descriptor.
     */
    private static final long LINGER_NS = Clock.SECOND;

    /**
     * What comes on a connection that answers nothing more is passed over with such pauses: a flood
     * must not cost much.
     */
    private static final long PASS_OVER_MS = 50;

    /** A connection that is read again is given this long before what waits of it is begun. */
    private static final long READ_FIRST_MS = 2;

    /**
     * After a fault a connection is not read for this long, and after so many faults no more at
     * all.
     */
    private static final long PENALTY_MS = 50;

    private static final int MOST_FAULTS = 8;
    private static final WriteBufferWaterMark MARKS =
            new WriteBufferWaterMark(16 * 1024, 64 * 1024);

    /**
     * Pieces of long values, over all connections, that clients may leave waiting before hosts are
     * read no more.
     */
    private static final long MOST_STREAMED = 6L * 1024 * 1024;

    /** A long value that neither end moves on for so long is given up. */
    private static final long STALLED_NS = 10 * Clock.SECOND;

    private static final byte[] CRLF = {'\r', '\n'};

    private final Balancer balancer;
    private final EventLoop loop;
    private final Counters counters;
    private final Budget budget;
    private final ConnectionLimiter<Connection> limiter;
    private final ReadAhead.Total ahead = new ReadAhead.Total();
    private Channel server;
    private long unread;

    /** Bytes of long values that are written and not taken yet. */
    private long streamed;

    private final ActionGuard guard;

    /**
     * {@code mostSurplus}: connections over {@code mostClients} that are kept just to be refused.
     */
    ClientServer(
            Balancer balancer,
            EventLoop loop,
            Counters counters,
            Budget budget,
            ActionGuard guard,
            int mostClients,
            int mostSurplus) {
        this.balancer = balancer;
        this.guard = guard;
        this.budget = budget;
        this.loop = loop;
        this.counters = counters;
        this.limiter = new ConnectionLimiter<>(loop, mostClients, mostSurplus);
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        // While an upgrade lasts, the old process and the new one listen here
                        // together.
                        .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .handler(new AcceptFaults())
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new ServerChannelRecvByteBufAllocator()
                                        .maxMessagesPerRead(ACCEPTS_AT_ONCE))
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                // Read on behind a short read: that is where the end of a
                                // connection shows.
                                new AdaptiveRecvByteBufAllocator(512, 2048, MOST_READ)
                                        .respectMaybeMoreData(false)
                                        .maxMessagesPerRead(READS_AT_ONCE))
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel fresh) {
                                        MetaDecoder decoder = MetaDecoder.ofCommands(budget);
                                        Connection connection =
                                                new Connection((SocketChannel) fresh, decoder);
                                        fresh.pipeline()
                                                .addLast(connection.readAhead, decoder, connection);
                                    }
                                })
                        .bind(address);
        server = bound.channel();
        return bound;
    }

    /** Takes no more connections. */
    void stopListening() {
        if (server != null) {
            server.close();
        }
    }

    /**
     * From now on so many connections are held at most; idle ones make room as further ones come.
     */
    void limit(int most) {
        limiter.limit(most);
    }

    int clients() {
        return limiter.size();
    }

    /**
     * Closes those that say nothing, stop halfway or have been idle for long: each holds a
     * descriptor and memory that others need. To be called a few times a second.
     */
    void sweep() {
        long now = Clock.now();
        for (Connection connection : limiter.all()) {
            connection.checkTime(now);
        }
    }

    /**
     * An accept that fails, for want of descriptors, is tried again soon: it must not reach the
     * loop itself.
     */
    private final class AcceptFaults extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            counters.noise("cannot accept: " + cause);
            ctx.channel().config().setAutoRead(false);
            loop.schedule(
                    () -> ctx.channel().config().setAutoRead(true),
                    ACCEPT_AGAIN_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** A command that was read, and when it came. */
    private record Arrived(MetaFrame frame, long at) {}

    /** An answer has left. */
    private final class Taken implements ChannelFutureListener {
        private final int bytes;

        Taken(int bytes) {
            this.bytes = bytes;
        }

        @Override
        public void operationComplete(ChannelFuture done) {
            unread -= bytes;
        }
    }

    /** The place of one command in the order of answers. */
    private final class Slot implements Exchange.Client, ValueStream.Sink {
        private final Connection connection;
        private ByteBuf answer;
        private Command command;
        private Exchange exchange;

        /** The long value behind the answer, until its last piece has been written. */
        private ValueStream value;

        /** The answer's line has been written and the value follows. */
        private boolean streaming;

        /** Pieces that the client has not taken yet, and when it last took one. */
        private int unsent;

        private long progressAt;

        Slot(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void served(Reply reply, ValueStream coming) {
            String line =
                    command.write()
                            ? "HD O" + command.id() + " c" + reply.receipt() + "\r\n"
                            : "VA " + reply.length() + " O" + command.id() + "\r\n";
            if (coming == null) {
                answer(line, reply.data());
            } else {
                stream(line, coming);
            }
        }

        @Override
        public void refused(long retryAfterMs) {
            answer(
                    retryAfterMs > 0
                            ? "SERVER_ERROR busy " + retryAfterMs + "\r\n"
                            : "SERVER_ERROR busy\r\n",
                    null);
        }

        @Override
        public long unseenSince(long now) {
            return connection.readAhead.unseenSince(now);
        }

        @Override
        public void failed() {
            answer("SERVER_ERROR failed\r\n", null);
        }

        void answer(String line, byte[] data) {
            if (!connection.gone) {
                answer = Command.line(connection.channel.alloc(), line, data);
                unread += answer.readableBytes();
                connection.flushReady();
            }
        }

        private void stream(String line, ValueStream coming) {
            if (connection.gone) {
                coming.cancel();
                return;
            }
            value = coming;
            answer(line, null);
        }

        /** Its turn has come: the line is written, now the value. */
        private void begin() {
            streaming = true;
            progressAt = Clock.now();
            value.attach(this);
            adjustDemand();
        }

        /**
         * Reads the host on while its client takes what comes, and all of them together do not
         * leave too much.
         */
        private void adjustDemand() {
            if (streaming && value != null) {
                value.demand(
                        connection.channel.isWritable()
                                && (unsent == 0 || streamed < MOST_STREAMED));
            }
        }

        @Override
        public void piece(ByteBuf piece) {
            int bytes = piece.readableBytes();
            unsent += bytes;
            streamed += bytes;
            connection
                    .channel
                    .writeAndFlush(piece)
                    .addListener(
                            done -> {
                                unsent -= bytes;
                                streamed -= bytes;
                                progressAt = Clock.now();
                                adjustDemand();
                            });
            adjustDemand();
        }

        @Override
        public void end() {
            value = null;
            unread += 2;
            connection.channel.write(Unpooled.wrappedBuffer(CRLF)).addListener(done -> unread -= 2);
            connection.passed(this);
        }

        @Override
        public void broken() {
            // Short of its length, and behind the end of the connection: the client can tell.
            value = null;
            counters.cutShort++;
            connection.closeReason = CloseReason.VALUE_BROKEN;
            connection
                    .channel
                    .writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(ChannelFutureListener.CLOSE);
        }

        /** Whether neither end has moved for too long. */
        private boolean isStalled(long now) {
            return streaming && value != null && now - progressAt > STALLED_NS;
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<MetaFrame>
            implements ReadAhead.Listener, ConnectionLimiter.Limited {
        private final SocketChannel channel;
        private final MetaDecoder decoder;
        private final ReadAhead readAhead = new ReadAhead(this, ahead, READS_AT_ONCE);
        private final Queue<Slot> slots = new ArrayDeque<>();

        /** Commands that have been read and not begun. */
        private final Queue<Arrived> arrived = new ArrayDeque<>();

        /** When it came, fell idle or began to quit. */
        private long since = Clock.now();

        /** When the command that is still coming in began; 0 if there is none. */
        private long halfSince;

        /** A command has been begun since it was idle last. */
        private boolean asked;

        private boolean spoke;
        private int faults;
        private long pausedUntil;
        private long readFirstUntil;

        /** There was no room for it: all it gets is a refusal. */
        private boolean surplus;

        private boolean quitting;

        /** The last answer is on its way and the end of our output behind it. */
        private boolean leaving;

        /** The output has ended; only the client's end is waited for. */
        private boolean shut;

        private boolean gone;

        /** Why this end closes the connection; null while it does not. */
        private CloseReason closeReason;

        /** Commands are being begun: answers wait until that is done. */
        private boolean reading;

        /** The task that begins commands is due. */
        private boolean due;

        /** Made once: see {@link Balancer} on lambdas. */
        private final Runnable beginning = this::begin;

        private final Runnable adjusting = this::adjust;

        Connection(SocketChannel channel, MetaDecoder decoder) {
            this.channel = channel;
            this.decoder = decoder;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (!limiter.admit(this)) {
                counters.closed(CloseReason.TURNED_AWAY);
                gone = true;
                ctx.close();
            }
        }

        @Override
        public long since() {
            return since;
        }

        @Override
        public void refuseAll() {
            surplus = true;
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
        private boolean isUnwelcome() {
            return surplus || guard.sendsClientsAway();
        }

        /** Nothing that was read waits for its answer, or to be begun. */
        private boolean isDone() {
            return slots.isEmpty() && arrived.isEmpty() && readAhead.isEmpty();
        }

        private void beIdle() {
            // Asked again while it is idle, it keeps its place in the line.
            ConnectionLimiter.Quiet kind =
                    spoke && faults == 0
                            ? ConnectionLimiter.Quiet.IDLE
                            : ConnectionLimiter.Quiet.UNPROVEN;
            if (limiter.becomesQuiet(this, kind) && asked) {
                asked = false;
                since = Clock.now();
            }
        }

        private void close(CloseReason reason) {
            closeReason = closeReason == null ? reason : closeReason;
            if (!isDone()) {
                checkNothingOwed(reason);
            }
            channel.close();
        }

        /**
         * What was read and is not answered must not end with the connection, unless the client
         * broke it or left.
         */
        private void checkNothingOwed(CloseReason reason) {
            if (reason.isOwnChoice()) {
                counters.violated(
                        Violation.CLOSED_UNANSWERED,
                        reason + ": " + slots.size() + " open, " + arrived.size() + " read");
            }
        }

        /** Nothing more is begun; the connection ends behind the answers that are owed on it. */
        private void endBehindAnswers(CloseReason reason) {
            quitting = true;
            closeReason = closeReason == null ? reason : closeReason;
        }

        private CloseReason unwelcomeReason() {
            if (!guard.sendsClientsAway()) {
                return CloseReason.SURPLUS;
            }
            return guard.isShuttingDown() ? CloseReason.SHUTTING_DOWN : CloseReason.DRAINING;
        }

        void checkTime(long now) {
            if (!slots.isEmpty() && slots.peek().isStalled(now)) {
                counters.cutShort++;
                close(CloseReason.VALUE_STALLED);
            } else if (isDone()
                    && !leaving
                    && guard.mayCloseQuiet(now, spoke, since, halfSince != 0)) {
                quit(unwelcomeReason());
            } else if (leaving) {
                if (now - since > (shut ? LINGER_NS : FAREWELL_NS)) {
                    channel.close();
                }
            } else if (isDone()) {
                boolean late =
                        !spoke && now - since > COMMAND_NS
                                || halfSince != 0 && now - halfSince > COMMAND_NS;
                if (late) {
                    quit(CloseReason.INCOMPLETE_COMMAND);
                } else if (now - since > IDLE_NS) {
                    quit(CloseReason.IDLE);
                }
            }
        }

        private void quit(CloseReason reason) {
            endBehindAnswers(reason);
            adjust();
        }

        /** Bytes that wait keep a connection from being evicted: they may be a command. */
        @Override
        public void onBytes() {
            limiter.becomesBusy(this);
        }

        @Override
        public void onRead(boolean bytes) {
            if (quitting && bytes) {
                pauseReading(PASS_OVER_MS);
            } else {
                beginSoon();
            }
        }

        private void pauseReading(long ms) {
            pausedUntil = Clock.now() + ms * Clock.MILLISECOND;
            setReading(false);
            loop.schedule(adjusting, ms, TimeUnit.MILLISECONDS);
        }

        private void setReading(boolean on) {
            if (!on) {
                readAhead.rests();
            } else if (readAhead.resumes()) {
                // Its end may have come meanwhile: it is read before anything more of it is begun.
                readFirstUntil = Clock.now() + READ_FIRST_MS * Clock.MILLISECOND;
                loop.schedule(adjusting, READ_FIRST_MS, TimeUnit.MILLISECONDS);
            }
            channel.config().setAutoRead(on);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaFrame frame) {
            arrived.add(new Arrived(frame, readAhead.arrivedAt()));
        }

        private void beginSoon() {
            if (!due) {
                due = true;
                loop.execute(beginning);
            }
        }

        private boolean mayBegin() {
            return !quitting
                    && !readAhead.isBehind()
                    && slots.size() < MOST_PIPELINED
                    && channel.isWritable()
                    && Clock.now() >= Math.max(pausedUntil, readFirstUntil);
        }

        /**
         * Begins the commands that were read, once the reads of this turn are over: by then the end
         * of a connection that was closed behind them has been seen too, and what nobody waits for
         * any more is let drop. Guards against a queue of connections that all are dead by the time
         * they are accepted, each of which would cost as much as a live one: a slow start, a
         * stalled machine, any burst that clients give up on. Harm: a client that only closes its
         * sending side is not answered, as ever.
         */
        private void begin() {
            due = false;
            if (gone) {
                return;
            }
            if (!channel.isActive()) {
                counters.departed += isDone() ? 0 : 1;
                return;
            }
            reading = true;
            while (mayBegin() && (!arrived.isEmpty() || readAhead.feed())) {
                Arrived next = arrived.poll();
                if (next != null) {
                    begin(next);
                }
            }
            if (!isDone() || decoder.isClean()) {
                halfSince = 0;
            } else if (halfSince == 0) {
                halfSince = Clock.now();
            }
            reading = false;
            flushReady();
        }

        private void begin(Arrived next) {
            MetaFrame frame = next.frame;
            asked = true;
            Slot slot = new Slot(this);
            slots.add(slot);
            if (frame.fault() != null) {
                fault(slot, frame.fault(), frame.last());
            } else {
                take(slot, next);
            }
        }

        /**
         * Answers what cannot be served. Nothing behind a fault of framing is read; behind any
         * other one reading rests, so that a client which sends the same again at once takes no
         * time from the others.
         */
        private void fault(Slot slot, String answer, boolean last) {
            counters.malformed++;
            faults++;
            if (last || faults >= MOST_FAULTS) {
                endBehindAnswers(CloseReason.PROTOCOL_FAULT);
            }
            pauseReading(PENALTY_MS);
            slot.answer(answer + "\r\n", null);
        }

        private void take(Slot slot, Arrived next) {
            switch (next.frame.words().get(0)) {
                case "mg", "ms" -> request(slot, next);
                case "mn" -> {
                    spoke = true;
                    boolean draining = guard.sendsClientsAway() && !guard.isShuttingDown();
                    slot.answer(draining ? "SERVER_ERROR draining\r\n" : "MN\r\n", null);
                }
                case "quit" -> {
                    slots.remove(slot);
                    endBehindAnswers(CloseReason.CLIENT_QUIT);
                }
                default -> fault(slot, "ERROR", false);
            }
        }

        private void request(Slot slot, Arrived next) {
            RefusalReason refusal = refusal(Clock.now());
            if (refusal != null) {
                counters.refused(refusal);
                slot.answer("SERVER_ERROR busy\r\n", null);
                return;
            }
            try {
                slot.command = new Command(next.frame, balancer.site());
                slot.exchange = balancer.take(slot.command, next.at, slot);
                spoke = true;
            } catch (Command.Malformed e) {
                fault(slot, e.getMessage(), false);
            } catch (IdInUseException e) {
                fault(slot, "CLIENT_ERROR " + e.getMessage(), false);
            }
        }

        /** Why no request of this connection is accepted now; null if they are. */
        private RefusalReason refusal(long now) {
            if (surplus) {
                return RefusalReason.NO_CONNECTION_ROOM;
            }
            if (!guard.mayAccept(now)) {
                return RefusalReason.NOT_ACCEPTING;
            }
            return guard.isUnseen(now, readAhead.unseenSince(now))
                    ? RefusalReason.CLIENT_UNSEEN
                    : null;
        }

        /** Writes the answers that no earlier command has to come before. */
        void flushReady() {
            if (reading || gone) {
                return;
            }
            boolean wrote = false;
            while (!slots.isEmpty() && slots.peek().answer != null && !slots.peek().streaming) {
                Slot slot = slots.peek();
                wrote = true;
                if (slot.value == null) {
                    slots.poll();
                    write(slot);
                } else {
                    write(slot);
                    slot.begin();
                }
            }
            if (wrote) {
                channel.flush();
                // Its client has just been answered: nothing is on the way that a close could
                // cross.
                endIfUnwelcome();
            }
            adjust();
        }

        private void endIfUnwelcome() {
            if (isUnwelcome() && isDone()) {
                endBehindAnswers(unwelcomeReason());
            }
        }

        private void write(Slot slot) {
            int bytes = slot.answer.readableBytes();
            channel.write(slot.answer).addListener(new Taken(bytes));
        }

        /** The long value of the first slot has been passed on whole. */
        private void passed(Slot slot) {
            slots.remove(slot);
            channel.flush();
            endIfUnwelcome();
            if (reading) {
                return;
            }
            flushReady();
        }

        /**
         * Begins what waits, reads on, stops reading, or leaves, as its open requests and its
         * client's reading allow.
         */
        void adjust() {
            if (gone) {
                return;
            }
            if (quitting) {
                if (!arrived.isEmpty() || !readAhead.isEmpty()) {
                    checkNothingOwed(closeReason);
                }
                arrived.clear();
                readAhead.discard();
            }
            if (quitting && slots.isEmpty() && !leaving) {
                leave();
            } else if (unread > MOST_UNREAD && !channel.isWritable()) {
                // A client that does not read its answers must not take the memory of the others.
                close(CloseReason.ANSWERS_UNREAD);
                return;
            }
            setReading(readAhead.hasRoom() && Clock.now() >= pausedUntil);
            if (isDone() && !leaving) {
                beIdle();
            } else if ((!arrived.isEmpty() || !readAhead.isEmpty()) && mayBegin()) {
                beginSoon();
            }
        }

        /**
         * Shuts the output behind what is still being written and reads on until the client has
         * closed as well, for a while: a close over bytes that were not read resets the connection,
         * and its client loses the last answer. What is read from now on is passed over, and its
         * client sends it again elsewhere.
         */
        private void leave() {
            leaving = true;
            since = Clock.now();
            limiter.becomesBusy(this);
            limiter.becomesQuiet(this, ConnectionLimiter.Quiet.ENDING);
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(
                            written ->
                                    channel.shutdownOutput()
                                            .addListener(
                                                    ended -> {
                                                        shut = true;
                                                        since = Clock.now();
                                                        if (!ended.isSuccess()) {
                                                            channel.close();
                                                        }
                                                    }));
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (!slots.isEmpty()) {
                slots.peek().adjustDemand();
            }
            adjust();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!gone) {
                tellClose();
            }
            gone = true;
            limiter.remove(this);
            arrived.clear();
            for (Slot slot : slots) {
                if (slot.value != null) {
                    slot.value.cancel();
                }
                if (slot.streaming) {
                    continue;
                }
                if (slot.answer != null) {
                    unread -= slot.answer.readableBytes();
                    slot.answer.release();
                } else if (slot.exchange != null) {
                    balancer.clientGone(slot.exchange);
                }
            }
            slots.clear();
        }

        private void tellClose() {
            CloseReason reason = closeReason == null ? CloseReason.CLIENT_CLOSED : closeReason;
            counters.closed(reason);
            if (Log.isEnabled(Event.CLIENT_CLOSED)) {
                Log.write(Event.CLIENT_CLOSED, channel.remoteAddress(), reason, slots.size());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                counters.unexpected("on a client's connection", cause);
            }
            close(CloseReason.CONNECTION_ERROR);
        }
    }
}
