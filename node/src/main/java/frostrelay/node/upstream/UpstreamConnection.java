package frostrelay.node.upstream;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.memcache.MetaDecoder;
import frostrelay.node.memcache.MetaFrame;
import frostrelay.node.metrics.Counters;
import frostrelay.node.net.Connector;
import frostrelay.node.proxy.Attempt;
import frostrelay.node.proxy.Upstream;
import frostrelay.node.proxy.ValueStream;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.AttemptResult;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;

import java.io.IOException;

/**
 * One connection to a cache server. It connects, then alternates between idle and carrying one
 * attempt, until it is closed. Idle, it is registered with the pool's {@link ConnectionLimit}; it
 * is counted there until its end is certain. Runs on the event loop.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<Object>
        implements ValueStream.Source, Upstream.AttemptConnection {
    private final UpstreamConnectionPool pool;
    private final PooledServer pooledServer;
    private final ConnectionLimit limit;
    private final Upstream.Listener listener;
    private final Counters counters;
    private final MetaDecoder decoder;
    private Channel channel;

    /** The attempt that it carries, or will once it is connected; null while it is idle. */
    private Attempt attempt;

    /** The write of the present attempt, done when its last byte was sent; null before. */
    private ChannelFuture writeFuture;

    private long idleSinceNanos;

    /** The long value that is being received, whose attempt has ended; null if there is none. */
    private ValueStream valueStream;

    /** The id of the last response; null if there was none or it has already come twice. */
    private String lastAnsweredRequestId;

    /** The response is complete and the read that brought it is not. */
    private boolean responseReceived;

    /** Whether {@link ConnectionLimit} counts it as open. */
    private boolean countedAsOpen;

    UpstreamConnection(UpstreamConnectionPool pool, PooledServer pooledServer) {
        this.pool = pool;
        this.pooledServer = pooledServer;
        this.limit = pool.limit();
        this.listener = pool.listener();
        this.counters = pool.counters();
        this.decoder = MetaDecoder.forResponses(pool.memoryLimiter());
    }

    /** Opens the connection and writes the attempt once it is open. To be called once. */
    void connect(Attempt first, Bootstrap bootstrap, EventLoop loop) {
        attachAttempt(first);
        counters.connects++;
        countedAsOpen = true;
        limit.onOpened(pooledServer);
        Bootstrap connectBootstrap =
                bootstrap
                        .clone()
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, pool.connectTimeoutMillis())
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel fresh) {
                                        fresh.pipeline().addLast(decoder, UpstreamConnection.this);
                                    }
                                });
        channel =
                Connector.connect(
                        connectBootstrap, pooledServer.endpoint, loop, cause -> onConnectionLost());
    }

    /** Writes an attempt on this connection, which is idle. */
    void sendNow(Attempt next) {
        leaveIdle();
        attachAttempt(next);
        write();
    }

    /** Gives up the attempt that it carries; if it was written, the connection is closed. */
    void abandonAttempt() {
        detachAttempt();
        if (writeFuture != null) {
            channel.close();
        }
    }

    /** Whether this idle connection may carry another attempt. */
    boolean isReusable(long idleCutoffNanos) {
        return channel.isActive() && idleSinceNanos > idleCutoffNanos;
    }

    /** When it became idle last. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    private void attachAttempt(Attempt next) {
        attempt = next;
        next.connection = this;
    }

    private void detachAttempt() {
        attempt.connection = null;
        attempt = null;
    }

    @Override
    public boolean isWritten() {
        return writeFuture != null && writeFuture.isSuccess();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        completeIfSendDenied();
        if (attempt == null) {
            // Abandoned or denied while connecting: nothing is written and the connection is kept.
            goIdle();
        } else {
            write();
        }
    }

    private void completeIfSendDenied() {
        if (attempt == null) {
            return;
        }
        ActionGuard.SendDecision decision = pool.checkMaySend(attempt, pooledServer);
        if (decision == ActionGuard.SendDecision.ALLOWED) {
            return;
        }
        // If the server was drained or removed, another server may be tried.
        AttemptResult result =
                decision == ActionGuard.SendDecision.SERVER_UNAVAILABLE
                        ? AttemptResult.CONNECT_FAILED
                        : AttemptResult.SUPERSEDED;
        Attempt deniedAttempt = attempt;
        detachAttempt();
        listener.onAttemptCompleted(deniedAttempt, result, null, null);
    }

    private void write() {
        Attempt written = attempt;
        written.announcedTimeoutMillis =
                Math.max(1, listener.remainingTimeoutNanos(written) / Clock.NANOS_PER_MILLISECOND);
        ByteBuf bytes =
                written.activeRequest.clientRequest.encode(
                        channel.alloc(), written.announcedTimeoutMillis);
        listener.onWriteStarted(written, pooledServer.number);
        writeFuture = channel.writeAndFlush(bytes);
        listener.onWritten(written, pooledServer.sendAllowedUntilNanos);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
        if (message instanceof ByteBuf chunk) {
            if (valueStream != null) {
                valueStream.addChunk(chunk.retain());
            }
        } else if (valueStream == null) {
            handleResponse((MetaFrame) message);
        } else if (message == MetaFrame.END_OF_VALUE) {
            ValueStream completedValue = valueStream;
            valueStream = null;
            responseReceived = true;
            channel.config().setAutoRead(true);
            completedValue.complete();
        } else {
            // The data block does not end where its length says.
            channel.close();
            failValue();
        }
    }

    private void failValue() {
        if (valueStream != null) {
            ValueStream failedValue = valueStream;
            valueStream = null;
            failedValue.fail();
        }
    }

    @Override
    public void setDemand(boolean wantsMore) {
        channel.config().setAutoRead(wantsMore);
    }

    @Override
    public void cancel() {
        valueStream = null;
        channel.close();
    }

    private void handleResponse(MetaFrame response) {
        if (attempt == null) {
            // No request is open: later responses could not be matched to requests any more.
            retire();
            return;
        }
        if (isDuplicateResponse(response)) {
            return;
        }
        AttemptResult reason =
                ResponseClassifier.classify(attempt.activeRequest.clientRequest, response);
        boolean isMalformed = reason == null;
        if (isMalformed) {
            counters.warn(
                    "a cache server broke the protocol: "
                            + (response.errorResponse() != null
                                    ? response.errorResponse()
                                    : response.tokens()));
        }
        completeAttempt(
                isMalformed ? AttemptResult.ERROR : reason, response, isMalformed || !isWritten());
    }

    /**
     * A connection becomes idle only when all received bytes have been read and none came after the
     * response: those would be taken for the response to the next request. Likewise any byte on an
     * idle connection closes it.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (attempt != null || valueStream != null) {
            return;
        }
        if (!decoder.isAtFrameBoundary()) {
            retire();
        } else if (responseReceived) {
            responseReceived = false;
            goIdle();
        }
    }

    /**
     * Whether this repeats the previous response, late: it must not fail the present request, which
     * if it is a write might not be retried. Accepted only once, and never if the present request
     * has the same id.
     */
    private boolean isDuplicateResponse(MetaFrame response) {
        String id = response.streamed() ? null : ResponseClassifier.opaque(response);
        boolean isDuplicate =
                id != null
                        && id.equals(lastAnsweredRequestId)
                        && !id.equals(attempt.activeRequest.clientRequest.id());
        lastAnsweredRequestId = isDuplicate ? null : lastAnsweredRequestId;
        return isDuplicate;
    }

    private void completeAttempt(AttemptResult reason, MetaFrame response, boolean shouldClose) {
        Attempt completedAttempt = attempt;
        detachAttempt();
        writeFuture = null;
        lastAnsweredRequestId =
                reason == AttemptResult.OK
                        ? completedAttempt.activeRequest.clientRequest.id()
                        : null;
        if (!shouldClose && response.streamed()) {
            valueStream = new ValueStream(this);
        } else {
            responseReceived = !shouldClose;
        }
        if (shouldClose) {
            channel.close();
        }
        listener.onAttemptCompleted(completedAttempt, reason, response, valueStream);
    }

    private void goIdle() {
        if (!pooledServer.isUsable() || !channel.isActive()) {
            channel.close();
            return;
        }
        idleSinceNanos = Clock.now();
        limit.addIdle(this, pooledServer);
    }

    private void leaveIdle() {
        limit.removeIdle(this, pooledServer);
    }

    /** Closes the connection, whose place is free at once. */
    void retire() {
        responseReceived = false;
        leaveIdle();
        releasePlace();
        channel.close();
    }

    /** Frees its place, once, as soon as its end is certain. */
    private void releasePlace() {
        if (countedAsOpen) {
            countedAsOpen = false;
            limit.onClosed(pooledServer);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onConnectionLost();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            counters.logUnexpected("on a connection to a cache server", cause);
        }
        ctx.close();
    }

    private void onConnectionLost() {
        leaveIdle();
        releasePlace();
        failValue();
        if (attempt != null) {
            // A request cannot run before its last byte was sent; after that it may have.
            AttemptResult reason = isWritten() ? AttemptResult.RESET : AttemptResult.CONNECT_FAILED;
            Attempt completedAttempt = attempt;
            detachAttempt();
            listener.onAttemptCompleted(completedAttempt, reason, null, null);
        }
    }
}
