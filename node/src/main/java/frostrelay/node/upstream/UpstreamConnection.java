package frostrelay.node.upstream;

import frostrelay.node.lifecycle.ActionGuard;
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
 * A connection to a cache server, which is either idle or carries one attempt until it is closed.
 * An idle connection is registered with the pool's {@link ConnectionLimit}. That limit counts the
 * connection from the start of its connect until it is retired or lost. Runs on the event loop.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<Object>
        implements ValueStream.Source, Upstream.AttemptConnection {
    private final UpstreamConnectionPool pool;
    private final PooledServer pooledServer;
    private final ConnectionLimit limit;
    private final Upstream.Listener listener;
    private final Counters counters;
    private final IncomingResponseMemory memory;
    private Channel channel;

    /**
     * The attempt that the connection carries or will carry once it is connected; null if there is
     * none.
     */
    private Attempt attempt;

    /**
     * The write of the current attempt, completed when the last byte has been sent; null before the
     * write.
     */
    private ChannelFuture writeFuture;

    private long idleSinceNanos;

    /**
     * The long value that is being received after its attempt has been completed; null if there is
     * none.
     */
    private ValueStream valueStream;

    /**
     * The request id of the last successful response; null if there is none or a duplicate of it
     * has been received.
     */
    private String lastAnsweredRequestId;

    /** Whether the response is complete but the read that delivered it is still in progress. */
    private boolean responseReceived;

    /** Whether {@link ConnectionLimit} counts the connection as open. */
    private boolean countedAsOpen;

    UpstreamConnection(UpstreamConnectionPool pool, PooledServer pooledServer) {
        this.pool = pool;
        this.pooledServer = pooledServer;
        this.limit = pool.limit();
        this.listener = pool.listener();
        this.counters = pool.counters();
        this.memory = new IncomingResponseMemory(pool);
    }

    /** Opens the connection and writes the attempt once it is open. Must be called once. */
    void connect(Attempt firstAttempt, Bootstrap bootstrap, EventLoop loop) {
        attachAttempt(firstAttempt);
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
                                    protected void initChannel(Channel newChannel) {
                                        memory.setChannel(newChannel);
                                        newChannel
                                                .pipeline()
                                                .addLast(memory.decoder(), UpstreamConnection.this);
                                    }
                                });
        channel =
                Connector.connect(
                        connectBootstrap, pooledServer.endpoint, loop, cause -> onConnectionLost());
    }

    /** Writes an attempt on this connection, which must be idle. */
    void sendNow(Attempt next) {
        leaveIdle();
        attachAttempt(next);
        write();
    }

    /**
     * Detaches the attempt from the connection, and closes the connection if the attempt was
     * written.
     */
    void abandonAttempt() {
        detachAttempt();
        if (writeFuture != null) {
            channel.close();
        }
    }

    /**
     * Returns whether this idle connection may carry another attempt: it is open and became idle
     * after the given time.
     */
    boolean isReusable(long idleCutoffNanos) {
        return channel.isActive() && idleSinceNanos > idleCutoffNanos;
    }

    /** Returns the time at which the connection last became idle. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    private void attachAttempt(Attempt next) {
        attempt = next;
        memory.setAttempt(next);
        next.connection = this;
    }

    private void detachAttempt() {
        attempt.connection = null;
        attempt = null;
        memory.setAttempt(null);
    }

    @Override
    public boolean isWritten() {
        return writeFuture != null && writeFuture.isSuccess();
    }

    @Override
    public boolean isAwaitingMemory() {
        return memory.isAwaited();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        completeIfSendDenied();
        if (attempt == null) {
            // The attempt was abandoned or denied during the connect: the connection is kept for
            // reuse.
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
        int heldBytes = bytes.capacity();
        writeFuture = channel.writeAndFlush(bytes);
        if (!writeFuture.isDone()) {
            pool.writes().reserve(heldBytes);
            writeFuture.addListener(done -> pool.writes().release(heldBytes));
        }
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
            // The data block does not end at the announced length.
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
            // No request is open, so later responses could not be matched to their requests.
            retire();
            return;
        }
        if (isDuplicateResponse(response)) {
            return;
        }
        AttemptResult result =
                ResponseClassifier.classify(attempt.activeRequest.clientRequest, response);
        boolean isMalformed = result == null;
        if (isMalformed) {
            counters.warn(
                    "closing the connection to a cache server after a protocol violation: "
                            + (response.errorResponse() != null
                                    ? response.errorResponse()
                                    : response.tokens()));
        }
        completeAttempt(
                isMalformed ? AttemptResult.ERROR : result, response, isMalformed || !isWritten());
    }

    /**
     * Makes the connection idle if all received bytes have been read and none followed the
     * response. Further bytes would be taken for the response to the next request, so the
     * connection is retired if there are any, and also if a byte arrives while it is idle.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        memory.onReadComplete();
        if (attempt != null || valueStream != null) {
            return;
        }
        if (!memory.decoder().isAtFrameBoundary()) {
            retire();
        } else if (responseReceived) {
            responseReceived = false;
            goIdle();
        }
    }

    /**
     * Returns whether this is a late duplicate of the previous response. A duplicate must not fail
     * the current request, which might be a write that cannot be retried. Only one duplicate is
     * accepted, and none if the current request has the same id.
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

    private void completeAttempt(AttemptResult result, MetaFrame response, boolean shouldClose) {
        Attempt completedAttempt = attempt;
        detachAttempt();
        writeFuture = null;
        lastAnsweredRequestId =
                result == AttemptResult.OK
                        ? completedAttempt.activeRequest.clientRequest.id()
                        : null;
        if (!shouldClose && response.streamed()) {
            valueStream = new ValueStream(this, pool.undecodedBytes());
        } else {
            responseReceived = !shouldClose;
        }
        if (shouldClose) {
            channel.close();
        }
        listener.onAttemptCompleted(completedAttempt, result, response, valueStream);
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

    /** Closes the connection and stops counting it against the limit immediately. */
    void retire() {
        responseReceived = false;
        leaveIdle();
        stopCounting();
        channel.close();
    }

    /** Stops counting the connection against the limit; further calls have no effect. */
    private void stopCounting() {
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
        stopCounting();
        memory.onConnectionLost();
        failValue();
        if (attempt != null) {
            // A server cannot execute a request before its last byte has been sent; after that it
            // may have.
            AttemptResult result = isWritten() ? AttemptResult.RESET : AttemptResult.CONNECT_FAILED;
            Attempt completedAttempt = attempt;
            detachAttempt();
            listener.onAttemptCompleted(completedAttempt, result, null, null);
        }
    }
}
