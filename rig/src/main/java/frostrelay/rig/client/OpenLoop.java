package frostrelay.rig.client;

import frostrelay.rig.day.ClassSpec;
import frostrelay.rig.day.Day;
import frostrelay.rig.referee.ClientWatch;
import frostrelay.rig.referee.Referee;
import frostrelay.rig.referee.Referee.Effect;
import frostrelay.rig.referee.Referee.Ending;
import frostrelay.rig.wire.MetaCodec;
import frostrelay.rig.wire.MetaMessage;

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
 * Clients in an open loop: each request goes out at its planned time, whatever became of those
 * before it. A try that was refused or failed is made again where its class allows it, under a new
 * id. Runs on one event loop.
 */
public final class OpenLoop {
    /**
     * On top of what the client said it waits, for the way and for how late this program itself may
     * be.
     */
    private static final long GRACE = 250_000_000L;

    private static final long MILLISECOND = 1_000_000L;
    private static final int CONNECT_MS = 500;
    private static final int LEAST_PATIENCE_MS = 20;
    private static final int MOST_CATCH_UP = 64;

    /**
     * A close can cross a request only if that was sent so shortly before: what came earlier was
     * read.
     */
    private static final long CROSSING = 300_000_000L;

    /**
     * A timer that is later than this shows that this program was held up, and what it waits for
     * may be there unread.
     */
    private static final long MOST_BEHIND = 50_000_000L;

    private static final int LOOK_AGAIN_MS = 200;
    private static final int LEAST_LEAVE_MS = 2;

    /** Between the two pieces of a request that is written slowly. */
    private static final int MOST_PIECES_APART_MS = 400;

    private final Day day;
    private final RequestPlan plan;

    /**
     * Which clients leave or write slowly; apart from the plan, which stays the same without them.
     */
    private final UniformRandomProvider manners;

    private final Front front;
    private final EventLoop loop;
    private final ClientWatch watch;
    private final Tally tally;
    private final String run;
    private final Map<Front.Balancer, Deque<Connection>> idle = new HashMap<>();
    private final Promise<Tally> done;
    private long start;
    private long lastId;
    private long open;
    private boolean over;
    private volatile double surge = 1;

    /** {@code watch}: hears what is asked and answered. */
    public OpenLoop(Day day, Front front, EventLoop loop, ClientWatch watch, Tally tally) {
        this.day = day;
        this.plan = new RequestPlan(day);
        this.manners = RandomSource.XO_RO_SHI_RO_128_PP.create(day.seed() ^ 0x2545F491L);
        this.front = front;
        this.loop = loop;
        this.watch = watch;
        this.tally = tally;
        this.done = loop.newPromise();
        // Ids differ from run to run against one balancer, and are the same in two runs of one seed
        // but for this.
        this.run = String.format(Locale.ROOT, "%05x", day.seed() & 0xfffff);
    }

    /** Begins; done when the last request has ended. */
    public Future<Tally> run() {
        loop.execute(
                () -> {
                    start = System.nanoTime();
                    next(plan.next(surge));
                });
        return done;
    }

    /** From now on so many times the planned rate. */
    public void surge(double factor) {
        surge = factor;
    }

    /** No further first tries. */
    public void stop() {
        loop.execute(
                () -> {
                    over = true;
                    finishIfDone();
                });
    }

    private void next(Planned planned) {
        Planned due = planned;
        for (int i = 0; i < MOST_CATCH_UP; i++) {
            if (over || due.at() >= day.length()) {
                over = true;
                finishIfDone();
                return;
            }
            long wait = start + due.at() - System.nanoTime();
            if (wait > 0) {
                Planned later = due;
                loop.schedule(() -> next(later), wait, TimeUnit.NANOSECONDS);
                return;
            }
            begin(due);
            due = plan.next(surge);
        }
        // Behind its plan it still lets answers be read.
        Planned later = due;
        loop.execute(() -> next(later));
    }

    private void begin(Planned planned) {
        open++;
        tally.asked(planned);
        new Try(planned).send();
    }

    private void finishIfDone() {
        if (over && open == 0) {
            done.trySuccess(tally);
        }
    }

    /** A first try with all that follows from it. */
    private final class Try {
        private final Planned planned;
        private final long intended;
        private final long giveUp;
        private final String key;
        private String intent;
        private String id;
        private int tries;
        private int waitMs;
        private long sentAt;
        private boolean resent;
        private Front.Balancer balancer;
        private Connection connection;
        private Future<?> limit;
        private Future<?> leaving;
        private boolean lookedAgain;

        /** When its last byte was written; 0 before. */
        private long writtenAt;

        Try(Planned planned) {
            this.planned = planned;
            this.intended = start + planned.at();
            this.giveUp = intended + planned.requestClass().deadline();
            this.key = String.format(Locale.ROOT, "%s%011x", run, planned.number());
        }

        void send() {
            tries++;
            id = String.format(Locale.ROOT, "%s%011x", run, ++lastId);
            intent = intent == null ? id : intent;
            resent = false;
            sentAt = System.nanoTime();
            ClassSpec requestClass = planned.requestClass();
            waitMs =
                    (int)
                            Math.max(
                                    LEAST_PATIENCE_MS,
                                    Math.min(
                                                    requestClass.deadline() * planned.patience(),
                                                    giveUp - sentAt)
                                            / MILLISECOND);
            tally.tried();
            watch.asked(sentAt, id, intent, requestClass.effect());
            limit = null;
            leaving = null;
            lookedAgain = false;
            go();
        }

        /** Its last byte is on its way: from now on its client waits. */
        private void written() {
            writtenAt = System.nanoTime();
            if (limit != null) {
                return;
            }
            watch.waits(id, writtenAt + waitMs * MILLISECOND);
            limit = loop.schedule(this::late, waitMs * MILLISECOND + GRACE, TimeUnit.NANOSECONDS);
            if (manners.nextDouble() < day.load().leaves()) {
                long after = LEAST_LEAVE_MS + (long) (manners.nextDouble() * waitMs);
                leaving = loop.schedule(this::leave, after, TimeUnit.MILLISECONDS);
            }
        }

        private void leave() {
            watch.left(System.nanoTime(), id);
            connection.leave();
            end(Tally.End.LEFT);
        }

        private void cancelTimers() {
            if (limit != null) {
                limit.cancel(false);
            }
            if (leaving != null) {
                leaving.cancel(false);
            }
        }

        private void go() {
            long now = System.nanoTime();
            writtenAt = 0;
            balancer = front.any();
            Connection warm = balancer.isLeft(now) ? warm(balancer) : null;
            if (warm == null) {
                balancer = front.next(now);
                warm = warm(balancer);
            }
            if (warm != null) {
                warm.carry(this);
            } else {
                new Connection(balancer).connect(this);
            }
        }

        private Connection warm(Front.Balancer at) {
            Deque<Connection> free = idle.computeIfAbsent(at, b -> new ArrayDeque<>());
            Connection warm = free.pollLast();
            while (warm != null && !warm.channel.isActive()) {
                warm = free.pollLast();
            }
            return warm;
        }

        ByteBuf encode(io.netty.buffer.ByteBufAllocator alloc) {
            ClassSpec requestClass = planned.requestClass();
            long left = Math.max(1, waitMs - (System.nanoTime() - sentAt) / MILLISECOND);
            String figures =
                    " O"
                            + id
                            + " Pc="
                            + requestClass.name()
                            + ",t="
                            + planned.tenant()
                            + ",d="
                            + left
                            + ",h="
                            + planned.work() / 1_000
                            + (tries > 1 ? ",r=1" : "");
            if (!requestClass.write()) {
                return MetaCodec.encode(alloc, "mg " + planned.key() + " v" + figures, null);
            }
            byte[] value = ("use of " + planned.number()).getBytes(StandardCharsets.ISO_8859_1);
            String keyed = requestClass.effect() == Effect.KEYED ? ",k=" + key : "";
            return MetaCodec.encode(
                    alloc, "ms " + planned.key() + ' ' + value.length + figures + keyed, value);
        }

        void answered(MetaMessage answer) {
            switch (answer.word(0)) {
                case "VA" ->
                        served(
                                answer.data(),
                                !planned.requestClass().write()
                                        && startsWith(
                                                answer.data(), id + '|' + planned.key() + '|'));
                case "HD" -> {
                    String receipt = answer.flag('c');
                    served(
                            String.valueOf(receipt).getBytes(StandardCharsets.ISO_8859_1),
                            planned.requestClass().write() && receipt != null);
                }
                case "SERVER_ERROR" -> {
                    boolean refused = answer.word(1).equals("busy");
                    watch.answered(id, refused ? Ending.REFUSED : Ending.FAILED, 0);
                    long after =
                            refused && answer.words().size() > 2
                                    ? Long.parseLong(answer.word(2))
                                    : 0;
                    again(
                            refused ? Tally.End.REFUSED : Tally.End.FAILED,
                            refused,
                            after * MILLISECOND);
                }
                default -> {
                    tally.wrong();
                    watch.answered(id, Ending.FAILED, 0);
                    end(Tally.End.FAILED);
                }
            }
        }

        private static boolean startsWith(byte[] data, String text) {
            byte[] head = text.getBytes(StandardCharsets.ISO_8859_1);
            return data != null
                    && data.length >= head.length
                    && java.util.Arrays.equals(data, 0, head.length, head, 0, head.length);
        }

        private void served(byte[] content, boolean right) {
            cancelTimers();
            if (!right) {
                tally.wrong();
            }
            watch.answered(
                    id, Ending.SERVED, Referee.content(content == null ? new byte[0] : content));
            long now = System.nanoTime();
            end(
                    now - intended <= planned.requestClass().aim()
                            ? Tally.End.IN_TIME
                            : Tally.End.LATE);
        }

        /** Makes the try again, if its class allows that after this, or ends it. */
        void again(Tally.End otherwise, boolean neverRan, long after) {
            cancelTimers();
            Effect effect = planned.requestClass().effect();
            // A write that may have run is not made again by any client; a keyed one only within
            // its key's window.
            boolean may = neverRan || effect != Effect.NEVER_TWICE;
            long wait = Math.max(after, day.load().backoff() << Math.min(tries - 1, 10));
            if (may
                    && tries <= day.load().retries()
                    && System.nanoTime() + wait + LEAST_PATIENCE_MS * MILLISECOND < giveUp) {
                loop.schedule(this::send, wait, TimeUnit.NANOSECONDS);
            } else {
                end(otherwise);
            }
        }

        /** The connection ended without an answer. */
        void lost(boolean reused, boolean connected) {
            long now = System.nanoTime();
            if (balancer.stoppedSince(sentAt - MILLISECOND * 1_000)
                    || balancer.excuses(sentAt, now)) {
                watch.excused(id);
                again(Tally.End.EXCUSED, false, 0);
            } else if (!connected) {
                front.unreachable(balancer, now);
                watch.excused(id);
                again(Tally.End.REFUSED, true, 0);
            } else if (writtenAt == 0 || reused && !resent && now - writtenAt < CROSSING) {
                // A close that crossed the request: it was not read, and goes out once more.
                resent = true;
                writtenAt = 0;
                balancer = front.next(now);
                new Connection(balancer).connect(this);
            } else {
                watch.unanswered(
                        id,
                        "its connection ended "
                                + (now - writtenAt) / MILLISECOND
                                + " ms after it was sent; "
                                + balancer.state(now));
                cancelTimers();
                end(Tally.End.LOST);
            }
        }

        private void late() {
            long now = System.nanoTime();
            if (!lookedAgain && now - writtenAt - waitMs * MILLISECOND - GRACE > MOST_BEHIND) {
                // This program stood still: its answer may have come and not been read yet.
                lookedAgain = true;
                limit = loop.schedule(this::late, LOOK_AGAIN_MS, TimeUnit.MILLISECONDS);
                return;
            }
            connection.leave();
            if (balancer.stoppedSince(sentAt - MILLISECOND * 1_000)
                    || balancer.excuses(sentAt, System.nanoTime())) {
                watch.excused(id);
                end(Tally.End.EXCUSED);
            } else {
                watch.unanswered(
                        id,
                        "no answer in "
                                + waitMs
                                + " ms and grace; "
                                + balancer.state(System.nanoTime()));
                end(Tally.End.LOST);
            }
        }

        private void end(Tally.End end) {
            cancelTimers();
            tally.ended(planned, end, System.nanoTime() - intended);
            open--;
            finishIfDone();
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<MetaMessage> {
        private final Front.Balancer balancer;
        private SocketChannel channel;
        private Try current;
        private boolean reused;
        private boolean connected;

        Connection(Front.Balancer balancer) {
            this.balancer = balancer;
        }

        void connect(Try first) {
            current = first;
            first.connection = this;
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
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
                                    ended();
                                }
                            });
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connected = true;
            if (current == null) {
                ctx.close();
            } else {
                write(current);
            }
        }

        /** Writes a request, whole or, as slow clients do, in two pieces some time apart. */
        private void write(Try request) {
            ByteBuf bytes = request.encode(channel.alloc());
            if (manners.nextDouble() >= day.load().slow()) {
                channel.writeAndFlush(bytes);
                request.written();
                return;
            }
            channel.writeAndFlush(bytes.readRetainedSlice(bytes.readableBytes() / 2));
            long apart = (long) (manners.nextDouble() * MOST_PIECES_APART_MS);
            loop.schedule(
                    () -> {
                        if (current == request && channel.isActive()) {
                            channel.writeAndFlush(bytes);
                            request.written();
                        } else {
                            bytes.release();
                        }
                    },
                    apart,
                    TimeUnit.MILLISECONDS);
        }

        void carry(Try next) {
            current = next;
            next.connection = this;
            reused = true;
            write(next);
        }

        /** Its client waits no longer. */
        void leave() {
            current = null;
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaMessage message) {
            if (current == null) {
                watch.unasked(String.join(" ", message.words()));
                ctx.close();
                return;
            }
            Try answered = current;
            current = null;
            idle.computeIfAbsent(balancer, b -> new ArrayDeque<>()).add(this);
            answered.answered(message);
        }

        private void ended() {
            Try open = current;
            current = null;
            Deque<Connection> free = idle.get(balancer);
            if (free != null) {
                free.remove(this);
            }
            if (open != null) {
                open.lost(reused, connected);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ended();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                tally.wrong();
            }
            ctx.close();
        }
    }
}
