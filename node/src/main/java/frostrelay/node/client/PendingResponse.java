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
 * The response to one command in the order of a connection's commands: encoded when it is there,
 * written when all earlier ones are. Behind its line a long value may follow, in chunks.
 */
final class PendingResponse implements ActiveRequest.ResponseListener, ValueStream.Sink {
    /** A long value without progress at either end for this long is given up. */
    private static final long VALUE_STALL_TIMEOUT_NANOS = 10 * Clock.NANOS_PER_SECOND;

    private static final byte[] CRLF = {'\r', '\n'};

    private final ClientConnection connection;
    private final SocketChannel channel;
    private final ResponseMemory responseMemory;

    /** The encoded response, or its line where a long value follows; null until it is there. */
    private ByteBuf response;

    /** The command if it is a request; else null. */
    private MetaCommand command;

    /** The request if it was accepted; else null. */
    private ActiveRequest activeRequest;

    /** The long value behind the line, until its last chunk has been written. */
    private ValueStream valueStream;

    /** Whether the line has been written and the value follows. */
    private boolean streaming;

    /** Bytes of chunks that the client has not taken yet. */
    private int unsentBytes;

    /** When the client took a chunk last. */
    private long lastProgressNanos;

    PendingResponse(ClientConnection connection, ResponseMemory responseMemory) {
        this.connection = connection;
        this.channel = connection.channel();
        this.responseMemory = responseMemory;
    }

    /** To be called before the request is accepted, which may respond at once. */
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

    /** Sets the response, which is written as soon as its turn has come. */
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

    /** Starts to write the value; its line has been written. */
    void startStreaming() {
        streaming = true;
        lastProgressNanos = Clock.now();
        valueStream.attach(this);
        adjustDemand();
    }

    /**
     * Reads the server on while the client takes the chunks and the limit over all connections
     * allows it.
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
        // The value is short of its length and the connection ends: the client can tell.
        valueStream = null;
        connection.onValueBroken();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    /** Whether neither end of the value has made progress for too long. */
    boolean isStalled(long now) {
        return streaming
                && valueStream != null
                && now - lastProgressNanos > VALUE_STALL_TIMEOUT_NANOS;
    }

    /** Releases what will not be written, and gives up the request if it is still open. */
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
