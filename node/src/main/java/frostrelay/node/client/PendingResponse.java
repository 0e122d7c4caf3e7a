package frostrelay.node.client;

import frostrelay.node.memcache.MetaCommand;
import frostrelay.node.proxy.ActiveRequest;
import frostrelay.node.proxy.RequestDispatcher;
import frostrelay.node.proxy.UpstreamResponse;
import frostrelay.node.proxy.ValueStream;
import frostrelay.node.time.Clock;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.SocketChannel;

/**
 * The response to one command of a connection. It is encoded when it becomes available and written
 * after all earlier responses. A long value follows the response line in chunks.
 */
final class PendingResponse implements ActiveRequest.ResponseListener, ValueStream.Sink {
    /**
     * The time without progress at either end after which the transfer of a long value is aborted.
     */
    private static final long VALUE_STALL_TIMEOUT_NANOS = 10 * Clock.NANOS_PER_SECOND;

    private static final byte[] CRLF = {'\r', '\n'};

    private final ClientConnection connection;
    private final SocketChannel channel;
    private final ResponseMemory responseMemory;

    /**
     * The encoded response, or only its line if a long value follows; null until the response is
     * available.
     */
    private ByteBuf response;

    /** The command if it is a request; otherwise null. */
    private MetaCommand command;

    /** The request if it was accepted; otherwise null. */
    private ActiveRequest activeRequest;

    /**
     * The long value that follows the line; null if there is none or if its last chunk has been
     * received.
     */
    private ValueStream valueStream;

    /** Whether the line has been written and the value follows. */
    private boolean streaming;

    /** Bytes of chunks that have not been written to the socket yet. */
    private int unsentBytes;

    /**
     * The time at which the last chunk was written to the socket, or at which streaming started.
     */
    private long lastProgressNanos;

    PendingResponse(ClientConnection connection, ResponseMemory responseMemory) {
        this.connection = connection;
        this.channel = connection.channel();
        this.responseMemory = responseMemory;
    }

    /**
     * Must be called before the request is accepted, because the response may be given immediately.
     */
    void setCommand(MetaCommand newCommand) {
        command = newCommand;
    }

    void setActiveRequest(ActiveRequest acceptedRequest) {
        activeRequest = acceptedRequest;
    }

    ByteBuf response() {
        return response;
    }

    boolean isReadyToWrite() {
        return response != null && !streaming;
    }

    boolean hasValueStream() {
        return valueStream != null;
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
    public void onFailed() {
        respond("SERVER_ERROR failed\r\n", null);
    }

    @Override
    public long disconnectUndetectableSince(long now) {
        return connection.disconnectUndetectableSince(now);
    }

    /** Sets the response, which is written after all earlier responses. */
    void respond(String line, byte[] data) {
        if (!connection.isDisconnected()) {
            response = MetaCommand.encodeLine(channel.alloc(), line, data);
            responseMemory.addUnread(response.readableBytes());
            connection.flushCompletedResponses();
        }
    }

    private void streamValue(String line, ValueStream incomingValue) {
        if (connection.isDisconnected()) {
            incomingValue.cancel();
            return;
        }
        valueStream = incomingValue;
        respond(line, null);
    }

    /** Starts to write the value after its line has been written. */
    void startStreaming() {
        streaming = true;
        lastProgressNanos = Clock.now();
        valueStream.attach(this);
        adjustDemand();
    }

    /**
     * Continues to read from the server while the client accepts chunks and the memory limit over
     * all connections allows it; otherwise pauses reading.
     */
    void adjustDemand() {
        if (streaming && valueStream != null) {
            valueStream.setDemand(
                    channel.isWritable()
                            && (unsentBytes == 0 || responseMemory.hasStreamingCapacity()));
        }
    }

    @Override
    public void onChunk(ByteBuf chunk) {
        int chunkBytes = chunk.readableBytes();
        unsentBytes += chunkBytes;
        responseMemory.addStreamed(chunkBytes);
        channel.writeAndFlush(chunk).addListener(done -> onChunkWritten(chunkBytes));
        adjustDemand();
    }

    private void onChunkWritten(int chunkBytes) {
        unsentBytes -= chunkBytes;
        responseMemory.removeStreamed(chunkBytes);
        lastProgressNanos = Clock.now();
        adjustDemand();
    }

    @Override
    public void onStreamComplete() {
        valueStream = null;
        responseMemory.addUnread(CRLF.length);
        channel.write(Unpooled.wrappedBuffer(CRLF))
                .addListener(responseMemory.removeWhenWritten(CRLF.length));
        connection.onValueStreamed(this);
    }

    @Override
    public void onStreamFailed() {
        // The client detects the truncated value, because the connection closes before the
        // announced length.
        valueStream = null;
        connection.onValueTruncated();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    /** Returns whether no chunk of the value has been written for longer than the timeout. */
    boolean isStalled(long now) {
        return streaming
                && valueStream != null
                && now - lastProgressNanos > VALUE_STALL_TIMEOUT_NANOS;
    }

    /** Releases the data that will not be written, and ends the request if it is still open. */
    void onDisconnect(RequestDispatcher dispatcher) {
        if (valueStream != null) {
            valueStream.cancel();
        }
        if (streaming) {
            return;
        }
        if (response != null) {
            responseMemory.removeUnread(response.readableBytes());
            response.release();
        } else if (activeRequest != null) {
            dispatcher.onClientDisconnect(activeRequest);
        }
    }
}
