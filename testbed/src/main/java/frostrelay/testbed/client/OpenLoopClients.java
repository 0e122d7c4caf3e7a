package frostrelay.testbed.client;

import frostrelay.testbed.invariants.ClientObserver;
import frostrelay.testbed.invariants.InvariantChecker;
import frostrelay.testbed.invariants.InvariantChecker.Effect;
import frostrelay.testbed.invariants.InvariantChecker.Outcome;
import frostrelay.testbed.scenario.ClassSpec;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.wire.MetaCodec;
import frostrelay.testbed.wire.MetaMessage;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Open-loop clients: each request is sent at its planned time, independent of earlier responses. A
 * rejected or failed attempt is retried with a new id if its class allows that. Runs on one event
 * loop.
 */
public final class OpenLoopClients {
    /** Added to the client's timeout for network time and delays of this process. */
    private static final long RESPONSE_GRACE_NANOS = 250_000_000L;

    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final int CONNECTION_TIMEOUT_MILLIS = 500;
    private static final int MIN_TIMEOUT_MILLIS = 20;
    private static final int MAX_CATCH_UP_REQUESTS = 64;

    /**
     * A close can cross a request only if the request was sent within this time before; the
     * balancer has read earlier ones.
     */
    private static final long CLOSE_CROSSING_NANOS = 300_000_000L;

    /**
     * A timer later than this shows that this process was stalled, so a response may have arrived
     * unread.
     */
    private static final long MAX_LATENESS_NANOS = 50_000_000L;

    private static final int RECHECK_DELAY_MILLIS = 200;
    private static final int MIN_DISCONNECT_DELAY_MILLIS = 2;

    /** The longest pause between the two parts of a slowly written request. */
    private static final int MAX_SPLIT_WRITE_DELAY_MILLIS = 400;

    private final Scenario scenario;
    private final RequestPlan plan;

    /**
     * Selects clients that disconnect early or write slowly; separate from the plan, so that these
     * do not change it.
     */
    private final UniformRandomProvider behaviorRandom;

    private final RoundRobinFrontend frontend;
    private final EventLoop loop;
    private final ClientObserver observer;
    private final ClientStatistics statistics;
    private final String runId;
    private final Map<RoundRobinFrontend.Balancer, Deque<Connection>> idleConnections =
            new HashMap<>();
    private final Promise<ClientStatistics> completion;
    private long startedAtNanos;
    private long lastId;
    private long openRequests;
    private boolean isStopped;
    private volatile double loadFactor = 1;

    /** Creates clients for a scenario. {@code observer}: receives all requests and responses. */
    public OpenLoopClients(
            Scenario scenario,
            RoundRobinFrontend frontend,
            EventLoop loop,
            ClientObserver observer,
            ClientStatistics statistics) {
        this.scenario = scenario;
        this.plan = new RequestPlan(scenario);
        this.behaviorRandom =
                RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed() ^ 0x2545F491L);
        this.frontend = frontend;
        this.loop = loop;
        this.observer = observer;
        this.statistics = statistics;
        this.completion = loop.newPromise();
        // Makes the ids of runs with different seeds distinct for one balancer; runs with the same
        // seed use the same ids.
        this.runId = String.format(Locale.ROOT, "%05x", scenario.seed() & 0xfffff);
    }

    /** Starts sending; the future completes after the last request has ended. */
    public Future<ClientStatistics> run() {
        loop.execute(
                () -> {
                    startedAtNanos = System.nanoTime();
                    runDueRequests(plan.next(loadFactor));
                });
        return completion;
    }

    /** Multiplies the planned request rate by a factor from now on. */
    public void setLoadFactor(double factor) {
        loadFactor = factor;
    }

    /** Stops sending new requests; retries of open ones continue. */
    public void stop() {
        loop.execute(
                () -> {
                    isStopped = true;
                    finishIfDone();
                });
    }

    private void runDueRequests(PlannedRequest planned) {
        PlannedRequest due = planned;
        for (int i = 0; i < MAX_CATCH_UP_REQUESTS; i++) {
            if (isStopped || due.atNanos() >= scenario.durationNanos()) {
                isStopped = true;
                finishIfDone();
                return;
            }
            long wait = startedAtNanos + due.atNanos() - System.nanoTime();
            if (wait > 0) {
                PlannedRequest later = due;
                loop.schedule(() -> runDueRequests(later), wait, TimeUnit.NANOSECONDS);
                return;
            }
            startRequest(due);
            due = plan.next(loadFactor);
        }
        // Yields to the event loop, so that responses are read even while sending is behind
        // schedule.
        PlannedRequest later = due;
        loop.execute(() -> runDueRequests(later));
    }

    private void startRequest(PlannedRequest planned) {
        openRequests++;
        statistics.requests(planned);
        new Attempt(planned).send();
    }

    private void finishIfDone() {
        if (isStopped && openRequests == 0) {
            completion.trySuccess(statistics);
        }
    }

    /** A request with all its attempts. */
    private final class Attempt {
        private final PlannedRequest planned;
        private final long intendedAtNanos;
        private final long deadlineNanos;
        private final String idempotencyKey;
        private String originalId;
        private String id;
        private int attempts;
        private int timeoutMillis;
        private long sentAtNanos;
        private boolean isResent;
        private RoundRobinFrontend.Balancer balancer;
        private Connection connection;
        private Future<?> timeoutTask;
        private Future<?> disconnectTask;
        private boolean hasRechecked;

        /** The time at which the last byte was written; 0 before that. */
        private long writtenAtNanos;

        Attempt(PlannedRequest planned) {
            this.planned = planned;
            this.intendedAtNanos = startedAtNanos + planned.atNanos();
            this.deadlineNanos = intendedAtNanos + planned.requestClass().deadlineNanos();
            this.idempotencyKey = String.format(Locale.ROOT, "%s%011x", runId, planned.number());
        }

        void send() {
            attempts++;
            id = String.format(Locale.ROOT, "%s%011x", runId, ++lastId);
            originalId = originalId == null ? id : originalId;
            isResent = false;
            sentAtNanos = System.nanoTime();
            ClassSpec requestClass = planned.requestClass();
            timeoutMillis =
                    (int)
                            Math.max(
                                    MIN_TIMEOUT_MILLIS,
                                    Math.min(
                                                    requestClass.deadlineNanos()
                                                            * planned.timeoutFraction(),
                                                    deadlineNanos - sentAtNanos)
                                            / NANOS_PER_MILLISECOND);
            statistics.recordAttempt();
            observer.onRequest(sentAtNanos, id, originalId, requestClass.effect());
            timeoutTask = null;
            disconnectTask = null;
            hasRechecked = false;
            dispatch();
        }

        /** Starts the client's timeout after the last byte was written. */
        private void onWritten() {
            writtenAtNanos = System.nanoTime();
            if (timeoutTask != null) {
                return;
            }
            observer.onTimeoutSet(id, writtenAtNanos + timeoutMillis * NANOS_PER_MILLISECOND);
            timeoutTask =
                    loop.schedule(
                            this::onTimeout,
                            timeoutMillis * NANOS_PER_MILLISECOND + RESPONSE_GRACE_NANOS,
                            TimeUnit.NANOSECONDS);
            if (behaviorRandom.nextDouble() < scenario.load().disconnectFraction()) {
                long after =
                        MIN_DISCONNECT_DELAY_MILLIS
                                + (long) (behaviorRandom.nextDouble() * timeoutMillis);
                disconnectTask = loop.schedule(this::disconnect, after, TimeUnit.MILLISECONDS);
            }
        }

        private void disconnect() {
            observer.onClientDisconnected(System.nanoTime(), id);
            connection.disconnect();
            end(ClientStatistics.Outcome.LEFT);
        }

        private void cancelTimers() {
            if (timeoutTask != null) {
                timeoutTask.cancel(false);
            }
            if (disconnectTask != null) {
                disconnectTask.cancel(false);
            }
        }

        private void dispatch() {
            long now = System.nanoTime();
            writtenAtNanos = 0;
            balancer = frontend.nextOfAll();
            Connection pooled = balancer.isAvoided(now) ? pollIdleConnection(balancer) : null;
            if (pooled == null) {
                balancer = frontend.nextAvailable(now);
                pooled = pollIdleConnection(balancer);
            }
            if (pooled != null) {
                pooled.sendAttempt(this);
            } else {
                new Connection(balancer).connect(this);
            }
        }

        private Connection pollIdleConnection(RoundRobinFrontend.Balancer at) {
            Deque<Connection> free = idleConnections.computeIfAbsent(at, b -> new ArrayDeque<>());
            Connection pooled = free.pollLast();
            while (pooled != null && !pooled.channel.isActive()) {
                pooled = free.pollLast();
            }
            return pooled;
        }

        ByteBuf encode(io.netty.buffer.ByteBufAllocator alloc) {
            ClassSpec requestClass = planned.requestClass();
            long remainingMillis =
                    Math.max(
                            1,
                            timeoutMillis
                                    - (System.nanoTime() - sentAtNanos) / NANOS_PER_MILLISECOND);
            String figures =
                    " O"
                            + id
                            + " Pc="
                            + requestClass.name()
                            + ",t="
                            + planned.tenant()
                            + ",d="
                            + remainingMillis
                            + ",h="
                            + planned.workNanos() / 1_000
                            + (attempts > 1 ? ",r=1" : "");
            if (!requestClass.isWrite()) {
                return MetaCodec.encode(alloc, "mg " + planned.key() + " v" + figures, null);
            }
            byte[] value = ("use of " + planned.number()).getBytes(StandardCharsets.ISO_8859_1);
            String keyParameter =
                    requestClass.effect() == Effect.IDEMPOTENT_BY_KEY ? ",k=" + idempotencyKey : "";
            return MetaCodec.encode(
                    alloc,
                    "ms " + planned.key() + ' ' + value.length + figures + keyParameter,
                    value);
        }

        void onResponse(MetaMessage response) {
            switch (response.token(0)) {
                case "VA" ->
                        onServed(
                                response.data(),
                                !planned.requestClass().isWrite()
                                        && startsWith(
                                                response.data(), id + '|' + planned.key() + '|'));
                case "HD" -> {
                    String receipt = response.flag('c');
                    onServed(
                            String.valueOf(receipt).getBytes(StandardCharsets.ISO_8859_1),
                            planned.requestClass().isWrite() && receipt != null);
                }
                case "SERVER_ERROR" -> {
                    boolean isRejected = response.token(1).equals("busy");
                    observer.onResponse(id, isRejected ? Outcome.REFUSED : Outcome.FAILED, 0);
                    long after =
                            isRejected && response.tokens().size() > 2
                                    ? Long.parseLong(response.token(2))
                                    : 0;
                    retryOrEnd(
                            isRejected
                                    ? ClientStatistics.Outcome.REFUSED
                                    : ClientStatistics.Outcome.FAILED,
                            isRejected,
                            after * NANOS_PER_MILLISECOND);
                }
                default -> {
                    statistics.recordWrongResponse();
                    observer.onResponse(id, Outcome.FAILED, 0);
                    end(ClientStatistics.Outcome.FAILED);
                }
            }
        }

        private static boolean startsWith(byte[] data, String text) {
            byte[] head = text.getBytes(StandardCharsets.ISO_8859_1);
            return data != null
                    && data.length >= head.length
                    && java.util.Arrays.equals(data, 0, head.length, head, 0, head.length);
        }

        private void onServed(byte[] content, boolean isCorrect) {
            cancelTimers();
            if (!isCorrect) {
                statistics.recordWrongResponse();
            }
            observer.onResponse(
                    id,
                    Outcome.SERVED,
                    InvariantChecker.digest(content == null ? new byte[0] : content));
            long now = System.nanoTime();
            end(
                    now - intendedAtNanos <= planned.requestClass().latencyObjectiveNanos()
                            ? ClientStatistics.Outcome.IN_TIME
                            : ClientStatistics.Outcome.LATE);
        }

        /**
         * Schedules a retry if the class and the deadline allow one; ends the request otherwise.
         */
        void retryOrEnd(ClientStatistics.Outcome finalOutcome, boolean neverRan, long after) {
            cancelTimers();
            Effect effect = planned.requestClass().effect();
            // Clients do not retry a non-idempotent write that may have been executed, and retry
            // one with an idempotency key only within the key's window.
            boolean mayRetry = neverRan || effect != Effect.NON_IDEMPOTENT;
            long wait =
                    Math.max(
                            after, scenario.load().minBackoffNanos() << Math.min(attempts - 1, 10));
            if (mayRetry
                    && attempts <= scenario.load().maxRetries()
                    && System.nanoTime() + wait + MIN_TIMEOUT_MILLIS * NANOS_PER_MILLISECOND
                            < deadlineNanos) {
                loop.schedule(this::send, wait, TimeUnit.NANOSECONDS);
            } else {
                end(finalOutcome);
            }
        }

        /** Handles a connection that ended without a response. */
        void onConnectionLost(boolean isReused, boolean wasConnected) {
            long now = System.nanoTime();
            if (balancer.wasStoppedSince(sentAtNanos - NANOS_PER_MILLISECOND * 1_000)
                    || balancer.excusesLoss(sentAtNanos, now)) {
                observer.onExcused(id);
                retryOrEnd(ClientStatistics.Outcome.EXCUSED, false, 0);
            } else if (!wasConnected) {
                frontend.onUnreachable(balancer, now);
                observer.onExcused(id);
                retryOrEnd(ClientStatistics.Outcome.REFUSED, true, 0);
            } else if (writtenAtNanos == 0
                    || isReused && !isResent && now - writtenAtNanos < CLOSE_CROSSING_NANOS) {
                // The close crossed the request, which was therefore not read and is sent again.
                isResent = true;
                writtenAtNanos = 0;
                balancer = frontend.nextAvailable(now);
                new Connection(balancer).connect(this);
            } else {
                observer.onNoResponse(
                        id,
                        "its connection ended "
                                + (now - writtenAtNanos) / NANOS_PER_MILLISECOND
                                + " ms after it was sent; "
                                + balancer.describeState(now));
                cancelTimers();
                end(ClientStatistics.Outcome.LOST);
            }
        }

        private void onTimeout() {
            long now = System.nanoTime();
            if (!hasRechecked
                    && now
                                    - writtenAtNanos
                                    - timeoutMillis * NANOS_PER_MILLISECOND
                                    - RESPONSE_GRACE_NANOS
                            > MAX_LATENESS_NANOS) {
                // This process was stalled: the response may have arrived without being read yet.
                hasRechecked = true;
                timeoutTask =
                        loop.schedule(this::onTimeout, RECHECK_DELAY_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            connection.disconnect();
            if (balancer.wasStoppedSince(sentAtNanos - NANOS_PER_MILLISECOND * 1_000)
                    || balancer.excusesLoss(sentAtNanos, System.nanoTime())) {
                observer.onExcused(id);
                end(ClientStatistics.Outcome.EXCUSED);
            } else {
                observer.onNoResponse(
                        id,
                        "no answer in "
                                + timeoutMillis
                                + " ms and grace; "
                                + balancer.describeState(System.nanoTime()));
                end(ClientStatistics.Outcome.LOST);
            }
        }

        private void end(ClientStatistics.Outcome outcome) {
            cancelTimers();
            statistics.recordOutcome(planned, outcome, System.nanoTime() - intendedAtNanos);
            openRequests--;
            finishIfDone();
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<MetaMessage> {
        private final RoundRobinFrontend.Balancer balancer;
        private SocketChannel channel;
        private Attempt current;
        private boolean isReused;
        private boolean wasConnected;

        Connection(RoundRobinFrontend.Balancer balancer) {
            this.balancer = balancer;
        }

        void connect(Attempt first) {
            current = first;
            first.connection = this;
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECTION_TIMEOUT_MILLIS)
                    .handler(
                            new ChannelInitializer<SocketChannel>() {
                                @Override
                                protected void initChannel(SocketChannel fresh) {
                                    channel = fresh;
                                    fresh.pipeline().addLast(new MetaCodec(), Connection.this);
                                }
                            })
                    .connect(balancer.address)
                    .addListener(
                            up -> {
                                if (!up.isSuccess()) {
                                    onEnded();
                                }
                            });
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            wasConnected = true;
            if (current == null) {
                ctx.close();
            } else {
                write(current);
            }
        }

        /**
         * Writes a request at once or, like a slow client, in two parts with a pause between them.
         */
        private void write(Attempt request) {
            ByteBuf bytes = request.encode(channel.alloc());
            if (behaviorRandom.nextDouble() >= scenario.load().splitWriteFraction()) {
                channel.writeAndFlush(bytes);
                request.onWritten();
                return;
            }
            channel.writeAndFlush(bytes.readRetainedSlice(bytes.readableBytes() / 2));
            long delayMillis = (long) (behaviorRandom.nextDouble() * MAX_SPLIT_WRITE_DELAY_MILLIS);
            loop.schedule(
                    () -> {
                        if (current == request && channel.isActive()) {
                            channel.writeAndFlush(bytes);
                            request.onWritten();
                        } else {
                            bytes.release();
                        }
                    },
                    delayMillis,
                    TimeUnit.MILLISECONDS);
        }

        void sendAttempt(Attempt next) {
            current = next;
            next.connection = this;
            isReused = true;
            write(next);
        }

        /** Closes the connection because its client no longer waits. */
        void disconnect() {
            current = null;
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaMessage message) {
            if (current == null) {
                observer.onUnexpectedResponse(String.join(" ", message.tokens()));
                ctx.close();
                return;
            }
            Attempt answered = current;
            current = null;
            idleConnections.computeIfAbsent(balancer, b -> new ArrayDeque<>()).add(this);
            answered.onResponse(message);
        }

        private void onEnded() {
            Attempt open = current;
            current = null;
            Deque<Connection> free = idleConnections.get(balancer);
            if (free != null) {
                free.remove(this);
            }
            if (open != null) {
                open.onConnectionLost(isReused, wasConnected);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onEnded();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                statistics.recordWrongResponse();
            }
            ctx.close();
        }
    }
}
