package frostrelay.node;

import frostrelay.lifecycle.ActionGuard;
import frostrelay.policy.Api;
import frostrelay.policy.Api.Reason;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Connections to cache hosts, each with one request at a time: never more than a site allows, and
 * an attempt that is given up then costs no other request its connection. Nothing is ever sent
 * again here.
 */
final class HostPool implements Backend {
    /**
     * Part of the hosts' idle time after which a connection is retired: a request that crossed the
     * close would end as a reset, which a write cannot repeat.
     */
    private static final double IDLE_PART = 0.6;

    /**
     * Taken off the drain grace: for the way of the last byte, and for a process that is held up
     * before it writes.
     */
    private static final long GRACE_MARGIN = 100 * Clock.MILLISECOND + ActionGuard.HELD_UP;

    /**
     * A host that is gone is known so long: a restart takes 2 to 30 s, and operators' calls may
     * come behind the list's.
     */
    private static final long KEPT = 60 * Clock.SECOND;

    private static final long NEVER = ActionGuard.NEVER;

    /** Bytes of one read, the most that a paused value leaves waiting. */
    private static final int MOST_READ = 16 * 1024;

    /** A cache host and what of it is free. */
    private static final class Host {
        final int number;
        InetSocketAddress endpoint;
        boolean gone;

        /** When the list last named it. */
        long namedAt;

        /** The list's word. */
        boolean listedReady;

        /** No send may start from then on. */
        long sendUntil = NEVER;

        int links;
        final Deque<Link> idle = new ArrayDeque<>();

        Host(int number) {
            this.number = number;
        }
    }

    private final CurrentSite site;
    private final Counters counters;
    private int mostLinks;
    private final Listener listener;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Map<Long, Host> hosts = new HashMap<>();

    /** All idle connections, the coldest first. */
    private final Set<Link> idle = new LinkedHashSet<>();

    /** Each connection holds one value at most, so their number bounds this. */
    private final Budget budget = new Budget(Long.MAX_VALUE);

    /** Hosts that operators hold out of use. */
    private Set<Long> held = Set.of();

    private int links;

    HostPool(
            CurrentSite site, EventLoop loop, Counters counters, int mostLinks, Listener listener) {
        this.site = site;
        this.counters = counters;
        this.mostLinks = mostLinks;
        this.listener = listener;
        this.loop = loop;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(512, 2048, MOST_READ));
    }

    /** Applies a list before the module sees it, so that every host it may name is known here. */
    @Override
    public void update(Api.ListMode mode, List<Catalog.Member> members) {
        if (mode == Api.ListMode.FAILED) {
            return;
        }
        long now = Clock.now();
        Set<Host> unnamed = new LinkedHashSet<>(hosts.values());
        for (Catalog.Member member : members) {
            Host host =
                    hosts.computeIfAbsent(
                            member.server().id(), id -> new Host(listener.number(member.uid())));
            unnamed.remove(host);
            if (!member.endpoint().equals(host.endpoint)) {
                closeIdle(host);
                host.endpoint = member.endpoint();
            }
            host.gone = member.server().state() == Api.State.GONE;
            host.namedAt = now;
            host.listedReady = member.server().state() == Api.State.READY;
            allow(host, host.listedReady && !held.contains(member.server().id()), now);
        }
        if (mode != Api.ListMode.DELTA) {
            for (Host host : unnamed) {
                host.namedAt = host.gone ? host.namedAt : now;
                host.gone = true;
                host.listedReady = false;
                allow(host, false, now);
            }
        }
    }

    /** Operators hold these hosts out of use, all of them and no others. */
    @Override
    public void hold(Set<Long> servers) {
        held = servers;
        long now = Clock.now();
        hosts.forEach((id, host) -> allow(host, host.listedReady && !held.contains(id), now));
    }

    @Override
    public boolean knows(long server) {
        return hosts.containsKey(server);
    }

    private void allow(Host host, boolean use, long now) {
        if (use) {
            host.sendUntil = NEVER;
        } else {
            leave(host, now);
        }
    }

    private void leave(Host host, long now) {
        host.sendUntil =
                Math.min(
                        host.sendUntil,
                        now + Math.max(0, site.get().settings.drainGrace() - GRACE_MARGIN));
        closeIdle(host);
    }

    /** Sends an attempt on the warmest connection, or on a new one where none is free. */
    @Override
    public void send(Attempt attempt, long server) {
        Host host = hosts.get(server);
        if (host == null || ask(attempt, host) != ActionGuard.Verdict.ALLOWED) {
            listener.onAnswer(attempt, Reason.MOOT, null, null);
            return;
        }
        Link link = warmest(host);
        if (link != null) {
            link.leaveIdle();
            link.carry(attempt);
            link.write();
        } else if (links >= mostLinks && !evict()) {
            // No room here is not the host's fault: told as 'not sent', which blames nobody and
            // refuses.
            counters.noLinkRoom++;
            listener.onAnswer(attempt, Reason.MOOT, null, null);
        } else {
            new Link(host).connect(attempt);
        }
    }

    private ActionGuard.Verdict ask(Attempt attempt, Host host) {
        ActionGuard.Verdict verdict = listener.maySend(attempt, host.sendUntil);
        if (verdict != ActionGuard.Verdict.ALLOWED) {
            counters.denied(verdict);
        }
        return verdict;
    }

    /**
     * The idle connection that was used last, or null. One that was idle for too long is not used
     * even if no sweep has seen to it yet, as after a pause of this process: its host may have
     * closed it.
     */
    private Link warmest(Host host) {
        long oldest = oldestIdle();
        Link link = host.idle.peekLast();
        while (link != null && (!link.channel.isActive() || link.idleSince <= oldest)) {
            link.retire();
            link = host.idle.peekLast();
        }
        return link;
    }

    private long oldestIdle() {
        return Clock.now() - (long) (site.get().idleTime * IDLE_PART);
    }

    /** From now on so many connections are held at most; idle ones make room. */
    @Override
    public void limit(int most) {
        mostLinks = most;
        while (links > mostLinks && evict()) {
            // One goes at a time.
        }
    }

    /**
     * Ends the wait for an attempt. One that was written costs its connection, as its answer may
     * still come.
     */
    @Override
    public void abandon(Attempt attempt) {
        Link link = (Link) attempt.carrier;
        if (link != null) {
            link.release();
            if (link.sent != null) {
                link.channel.close();
            }
        }
    }

    @Override
    public void closeIdle(long server) {
        Host host = hosts.get(server);
        if (host != null) {
            closeIdle(host);
        }
    }

    private static void closeIdle(Host host) {
        for (Link link : List.copyOf(host.idle)) {
            link.retire();
        }
    }

    private boolean evict() {
        Iterator<Link> coldest = idle.iterator();
        if (!coldest.hasNext()) {
            return false;
        }
        coldest.next().retire();
        return true;
    }

    /**
     * Retires connections well before their hosts would, and forgets hosts that are gone for long.
     */
    @Override
    public void sweep() {
        long oldest = oldestIdle();
        for (Link link : List.copyOf(idle)) {
            if (link.idleSince > oldest) {
                break;
            }
            link.retire();
        }
        long forgotten = Clock.now() - KEPT;
        hosts.values().removeIf(host -> host.gone && host.links == 0 && host.namedAt < forgotten);
    }

    @Override
    public int links() {
        return links;
    }

    @Override
    public void gauges(Map<String, Object> into) {
        into.put("hosts", hosts.size());
        into.put("links", links);
        into.put("idle", idle.size());
    }

    /**
     * One connection, its states in order: coming up, then idle or carrying an attempt, then
     * closed.
     */
    private final class Link extends SimpleChannelInboundHandler<Object>
            implements ValueStream.Source, Carrier {
        private final Host host;
        private final MetaDecoder decoder = MetaDecoder.ofAnswers(budget);
        private Channel channel;
        private Attempt attempt;

        /** The write of the present attempt; done when its last byte has left. */
        private ChannelFuture sent;

        private long idleSince;

        /** The long value that is coming in; its attempt has ended. */
        private ValueStream value;

        /** Whose answer came on it last; null if that was none, or has come twice. */
        private String answeredId;

        /** Its answer has come and the read that brought it is not over. */
        private boolean answered;

        private boolean counted;

        private Link(Host host) {
            this.host = host;
        }

        private void connect(Attempt first) {
            carry(first);
            counters.connects++;
            counted = true;
            links++;
            host.links++;
            int timeout =
                    (int) Math.max(1, site.get().settings.connectTimeout() / Clock.MILLISECOND);
            Bootstrap dial =
                    bootstrap
                            .clone()
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout)
                            .handler(
                                    new ChannelInitializer<>() {
                                        @Override
                                        protected void initChannel(Channel fresh) {
                                            fresh.pipeline().addLast(decoder, Link.this);
                                        }
                                    });
            channel = Dial.connect(dial, host.endpoint, loop, cause -> lost());
        }

        private void carry(Attempt next) {
            attempt = next;
            next.carrier = this;
        }

        private void release() {
            attempt.carrier = null;
            attempt = null;
        }

        @Override
        public boolean written() {
            return sent != null && sent.isSuccess();
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            ActionGuard.Verdict verdict =
                    attempt == null ? ActionGuard.Verdict.REQUEST_OVER : ask(attempt, host);
            if (attempt != null && verdict != ActionGuard.Verdict.ALLOWED) {
                // What it was to carry must not begin any more: for a server that has left, another
                // may be tried.
                Attempt late = attempt;
                release();
                listener.onAnswer(
                        late,
                        verdict == ActionGuard.Verdict.SERVER_LEFT
                                ? Reason.CONNECT_FAILED
                                : Reason.MOOT,
                        null,
                        null);
            }
            if (attempt == null) {
                // Cancelled, cut or denied while the connection came up: nothing is written, the
                // connection is kept.
                goIdle();
            } else {
                write();
            }
        }

        private void write() {
            Attempt written = attempt;
            written.toldMs = Math.max(1, listener.tellableWait(written) / Clock.MILLISECOND);
            ByteBuf bytes = written.exchange.ask.encode(channel.alloc(), written.toldMs);
            listener.onWrite(written, host.number);
            sent = channel.writeAndFlush(bytes);
            listener.onWritten(written, host.sendUntil);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object message) {
            if (message instanceof ByteBuf piece) {
                if (value != null) {
                    value.piece(piece.retain());
                }
            } else if (value == null) {
                take((MetaFrame) message);
            } else if (message == MetaFrame.END) {
                ValueStream whole = value;
                value = null;
                answered = true;
                channel.config().setAutoRead(true);
                whole.end();
            } else {
                // The block does not end where it should.
                channel.close();
                breakValue();
            }
        }

        private void breakValue() {
            if (value != null) {
                ValueStream broken = value;
                value = null;
                broken.broken();
            }
        }

        @Override
        public void demand(boolean more) {
            channel.config().setAutoRead(more);
        }

        @Override
        public void cancel() {
            value = null;
            channel.close();
        }

        private void take(MetaFrame answer) {
            if (attempt == null) {
                // Nobody asked: what follows on this connection cannot be told apart any more.
                retire();
                return;
            }
            if (isSecond(answer)) {
                return;
            }
            Reason reason = judge(attempt.exchange.ask, answer);
            boolean garbage = reason == null;
            if (garbage) {
                counters.noise(
                        "a cache host broke the protocol: "
                                + (answer.fault() != null ? answer.fault() : answer.words()));
            }
            finish(garbage ? Reason.ERROR : reason, answer, garbage || !written());
        }

        /**
         * A connection is free only once all that came has been read and nothing came behind the
         * answer: noise there, whole or in part, would be taken for the answer to the next request.
         * Likewise any byte on an idle connection ends it.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (attempt != null || value != null) {
                return;
            }
            if (!decoder.isClean()) {
                retire();
            } else if (answered) {
                answered = false;
                goIdle();
            }
        }

        /**
         * Whether this is the answer before once more, come late: guards against a write that
         * fails, and may not be repeated, for what another request was answered twice. Only once,
         * and never for a request that goes by the same id.
         */
        private boolean isSecond(MetaFrame answer) {
            String id = answer.streamed() ? null : opaque(answer);
            boolean second =
                    id != null && id.equals(answeredId) && !id.equals(attempt.exchange.ask.id());
            answeredId = second ? null : answeredId;
            return second;
        }

        private static String opaque(MetaFrame answer) {
            return answer.flag(answer.is(0, "VA") ? 2 : 1, 'O');
        }

        /** What an answer means; null for what the protocol does not allow. */
        private static Reason judge(Ask ask, MetaFrame answer) {
            if (answer.fault() != null) {
                return null;
            }
            if (answer.is(0, "SERVER_ERROR")) {
                return answer.is(1, "busy")
                        ? Reason.REJECTED
                        : answer.is(1, "failed") ? Reason.ERROR : null;
            }
            boolean kind =
                    ask.write()
                            ? answer.is(0, "HD") && answer.receipt() != null
                            : answer.is(0, "VA");
            return kind && ask.id().equals(opaque(answer)) ? Reason.OK : null;
        }

        private void finish(Reason reason, MetaFrame answer, boolean close) {
            Attempt ended = attempt;
            release();
            sent = null;
            answeredId = reason == Reason.OK ? ended.exchange.ask.id() : null;
            if (!close && answer.streamed()) {
                value = new ValueStream(this);
            } else {
                answered = !close;
            }
            if (close) {
                channel.close();
            }
            listener.onAnswer(ended, reason, answer, value);
        }

        private void goIdle() {
            if (host.sendUntil != NEVER || !channel.isActive()) {
                channel.close();
                return;
            }
            idleSince = Clock.now();
            host.idle.addLast(this);
            idle.add(this);
        }

        private void leaveIdle() {
            host.idle.remove(this);
            idle.remove(this);
        }

        private void retire() {
            answered = false;
            leaveIdle();
            uncount();
            channel.close();
        }

        /** Gives its place free once, as soon as its end is sure. */
        private void uncount() {
            if (counted) {
                counted = false;
                links--;
                host.links--;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                counters.unexpected("on a connection to a cache host", cause);
            }
            ctx.close();
        }

        private void lost() {
            leaveIdle();
            uncount();
            breakValue();
            if (attempt != null) {
                // Before its last byte has left a request cannot run; after that it may have.
                Reason reason = written() ? Reason.RESET : Reason.CONNECT_FAILED;
                Attempt ended = attempt;
                release();
                listener.onAnswer(ended, reason, null, null);
            }
        }
    }
}
