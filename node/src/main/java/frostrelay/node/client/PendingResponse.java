package frostrelay.node.client;

import frostrelay.node.memcache.MetaCommand;
import frostrelay.node.net.MemoryAccount;
import frostrelay.node.net.MemoryPool;
import frostrelay.node.net.ReadSizeLimit;
import frostrelay.node.proxy.ActiveRequest;
import frostrelay.node.proxy.RequestDispatcher;
import frostrelay.node.proxy.UpstreamResponse;
import frostrelay.node.proxy.ValueStream;
import frostrelay.node.time.Clock;

import io.netty.buffer.ByteBuf;

/**
 * The response to one command of a connection. It is sent after all earlier responses; until then
 * it is counted in the connection's account. A long value follows the response line in chunks.
 */
final class PendingResponse implements ActiveRequest.ResponseListener, ValueStream.Sink {
    /**
     * The time without progress at the end that is waited for after which the transfer of a long
     * value is aborted.
     */
    private static final long VALUE_STALL_TIMEOUT_NANOS = 10 * Clock.NANOS_PER_SECOND;

    /** The memory of a response besides its text and data. */
    private static final int OVERHEAD_BYTES = 128;

    private final ClientConnection connection;
    private final OutputQueue output;
    private final MemoryAccount account;

    /** The line of the response, with its CRLF; null until the response is available. */
    private String line;

    /** The data block that follows the line; null if there is none or if it is streamed. */
    private byte[] data;

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

    /** What the cache gives of the value; started when it is asked to go on. */
    private final TransferProgress cacheProgress = new TransferProgress(Clock.now());

    /** Whether the cache has been asked to go on with the value. */
    private boolean cacheDemanded;

    PendingResponse(ClientConnection connection, OutputQueue output, MemoryAccount account) {
        this.connection = connection;
        this.output = output;
        this.account = account;
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

    boolean isReadyToWrite() {
        return line != null && !streaming;
    }

    boolean hasValueStream() {
        return valueStream != null;
    }

    @Override
    public void onServed(UpstreamResponse upstreamResponse, ValueStream incomingValue) {
        String responseLine =
                command.isWrite()
                        ? "HD O" + command.id() + " c" + upstreamResponse.receipt() + "\r\n"
                        : "VA " + upstreamResponse.valueBytes() + " O" + command.id() + "\r\n";
        if (incomingValue == null) {
            respond(responseLine, upstreamResponse.data());
        } else {
            streamValue(responseLine, incomingValue);
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

    @Override
    public MemoryPool responseMemory() {
        return account;
    }

    /** Sets the response, which is sent after all earlier responses. */
    void respond(String responseLine, byte[] responseData) {
        if (!connection.isDisconnected()) {
            line = responseLine;
            data = responseData;
            account.reserve(heldBytes());
            connection.flushCompletedResponses();
        }
    }

    private int heldBytes() {
        return OVERHEAD_BYTES + line.length() + (data == null ? 0 : data.length);
    }

    /** Passes the response, without a streamed value, to the output. */
    void addTo(OutputQueue outputQueue) {
        account.release(heldBytes());
        outputQueue.add(line, data);
        data = null;
    }

    private void streamValue(String responseLine, ValueStream incomingValue) {
        if (connection.isDisconnected()) {
            incomingValue.cancel();
            return;
        }
        valueStream = incomingValue;
        respond(responseLine, null);
    }

    /** Starts to write the value after its line has been written. */
    void startStreaming() {
        streaming = true;
        cacheProgress.start(Clock.now());
        valueStream.attach(this);
        // Whether more is read from the cache depends on what the client does not take at once.
        output.flush();
        adjustDemand();
    }

    /**
     * Continues to read from the server while the client accepts chunks and there is memory, or if
     * no byte waits for the client; otherwise pauses reading.
     */
    void adjustDemand() {
        if (!streaming || valueStream == null) {
            return;
        }
        boolean mayReadAhead =
                output.hasCapacity() && account.roomBytes() >= ReadSizeLimit.MAX_READ_BYTES;
        boolean isDemanded = output.isEmpty() || mayReadAhead;
        if (isDemanded && !cacheDemanded) {
            cacheProgress.start(Clock.now());
        }
        cacheDemanded = isDemanded;
        valueStream.setDemand(isDemanded);
    }

    @Override
    public void onChunk(ByteBuf chunk) {
        cacheProgress.onBytes(Clock.now(), chunk.readableBytes());
        output.add(chunk);
        output.flush();
        adjustDemand();
    }

    @Override
    public void onStreamComplete() {
        valueStream = null;
        output.addDataEnd();
        connection.onValueStreamed(this);
    }

    @Override
    public void onStreamFailed() {
        // The client detects the truncated value, because the connection closes before the
        // announced length.
        valueStream = null;
        connection.onValueTruncated();
    }

    /** Returns whether the value has made no progress at the end that is waited for. */
    boolean isStalled(long now) {
        return streaming
                && valueStream != null
                && awaitedProgress().silentNanos(now) > VALUE_STALL_TIMEOUT_NANOS;
    }

    /**
     * Returns the progress of the end that is waited for: the client while it has bytes to take.
     */
    private TransferProgress awaitedProgress() {
        return output.isEmpty() ? cacheProgress : output.clientProgress();
    }

    /**
     * Returns by how many nanoseconds the cache is behind the least pace while its value is being
     * passed on; {@link PendingResponses#NO_TRANSFER} if none is.
     */
    long cacheBehindNanos(long now) {
        return streaming && valueStream != null
                ? cacheProgress.behindNanos(now)
                : PendingResponses.NO_TRANSFER;
    }

    /** Releases the data that will not be written, and ends the request if it is still open. */
    void onDisconnect(RequestDispatcher dispatcher) {
        if (valueStream != null) {
            valueStream.cancel();
        }
        if (streaming) {
            return;
        }
        if (line != null) {
            account.release(heldBytes());
        } else if (activeRequest != null) {
            dispatcher.onClientDisconnect(activeRequest);
        }
    }
}
