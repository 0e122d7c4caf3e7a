package frostrelay.node.client;

import frostrelay.node.net.MemoryAccount;
import frostrelay.node.time.Clock;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.nio.AbstractNioChannel;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The bytes of responses that the client's socket has not accepted yet. They wait on the heap,
 * counted at the size of their buffers, and are passed to the channel one write at a time, because
 * a channel copies what it holds to direct memory. Small responses share a buffer. Runs on the
 * event loop.
 */
final class OutputQueue implements ChannelProgressiveFutureListener {
    /** The number of unsent bytes from which on no further response is started. */
    private static final int HIGH_WATER_MARK_BYTES = 64 * 1024;

    private static final int MAX_WRITE_BYTES = 64 * 1024;

    /** The size of a write for which each connection has room. */
    private static final int MIN_WRITE_BYTES = 4 * 1024;

    /** A write takes at most the free memory for writes divided by this. */
    private static final int WRITE_DIVISOR = 8;

    /** How far a client may fall behind while the memory for responses is short. */
    private static final long UNREAD_TIMEOUT_NANOS = 2 * Clock.NANOS_PER_SECOND;

    private static final int MAX_COPIED_BYTES = 512;
    private static final int SHARED_BUFFER_BYTES = 2 * MAX_COPIED_BYTES;
    private static final byte[] CRLF = {'\r', '\n'};

    /** Bytes that wait for the channel, and the memory that they hold until all are taken. */
    private record Part(ByteBuf bytes, int heldBytes) {}

    private final Channel channel;
    private final MemoryAccount heapAccount;
    private final MemoryAccount writeAccount;
    private final Runnable progressListener;
    private final Queue<Part> parts = new ArrayDeque<>(2);

    /** The buffer of the last part if further bytes may be copied into it; otherwise null. */
    private ByteBuf sharedTail;

    private int queuedBytes;

    /** The size of the write that the channel holds; 0 if there is none. */
    private int writingBytes;

    /** How many bytes of that write the socket has accepted. */
    private long acceptedBytes;

    private boolean inWriteLoop;

    /** Runs once when all bytes are sent; null if there is no such action. */
    private Runnable emptyAction;

    /** What the client takes; started when bytes are added to an empty queue. */
    private final TransferProgress clientProgress = new TransferProgress(Clock.now());

    /**
     * Creates an empty queue.
     *
     * @param heapAccount the account of the bytes that wait
     * @param writeAccount the account of the bytes that the channel holds
     * @param progressListener runs when the socket has accepted bytes that it did not accept when
     *     they were written
     */
    OutputQueue(
            Channel channel,
            MemoryAccount heapAccount,
            MemoryAccount writeAccount,
            Runnable progressListener) {
        this.channel = channel;
        this.heapAccount = heapAccount;
        this.writeAccount = writeAccount;
        this.progressListener = progressListener;
    }

    /** Adds a line, which ends in CRLF, and a data block if {@code data} is not null. */
    void add(String line, byte[] data) {
        add(Unpooled.wrappedBuffer(line.getBytes(StandardCharsets.ISO_8859_1)));
        if (data != null) {
            add(Unpooled.wrappedBuffer(data));
            addDataEnd();
        }
    }

    /** Adds the end of a data block. */
    void addDataEnd() {
        add(Unpooled.wrappedBuffer(CRLF));
    }

    /** Adds bytes and takes ownership of them. They are sent after {@link #flush}. */
    void add(ByteBuf bytes) {
        if (isEmpty()) {
            clientProgress.start(Clock.now());
        }
        int length = bytes.readableBytes();
        queuedBytes += length;
        if (length > MAX_COPIED_BYTES) {
            sharedTail = null;
            addPart(bytes, length);
            return;
        }
        if (sharedTail == null || sharedTail.writableBytes() < length) {
            sharedTail = Unpooled.buffer(SHARED_BUFFER_BYTES);
            addPart(sharedTail, SHARED_BUFFER_BYTES);
        }
        sharedTail.writeBytes(bytes);
        bytes.release();
    }

    private void addPart(ByteBuf bytes, int heldBytes) {
        heapAccount.reserve(heldBytes);
        parts.add(new Part(bytes, heldBytes));
    }

    boolean isEmpty() {
        return queuedBytes + writingBytes == 0;
    }

    /** Returns whether a further response may be started for this client. */
    boolean hasCapacity() {
        return queuedBytes + writingBytes < HIGH_WATER_MARK_BYTES;
    }

    /**
     * Returns whether the client has read nothing, or next to nothing, for too long while others
     * need the memory of its responses.
     */
    boolean mustYield(long now) {
        return heapAccount.isMemoryShort()
                && !isEmpty()
                && clientProgress.behindNanos(now) > UNREAD_TIMEOUT_NANOS;
    }

    /** Returns what the client takes, as far as the socket has shown it. */
    TransferProgress clientProgress() {
        return clientProgress;
    }

    /**
     * Offers the write that the channel holds to the socket again. The system reports a full socket
     * as writable only when about a third of its buffer is free, which for an even reader takes
     * seconds, but accepts bytes before that. To be called several times a second.
     */
    void retryWrite() {
        if (writingBytes > 0 && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.forceFlush();
        }
    }

    /** Writes as much as the socket accepts now; the rest follows when it accepts more. */
    void flush() {
        if (inWriteLoop) {
            return;
        }
        inWriteLoop = true;
        while (writingBytes == 0 && queuedBytes > 0 && channel.isActive()) {
            write();
        }
        inWriteLoop = false;
        runEmptyAction();
    }

    private void write() {
        long allowedBytes = Math.max(MIN_WRITE_BYTES, writeAccount.roomBytes() / WRITE_DIVISOR);
        int length = (int) Math.min(queuedBytes, Math.min(MAX_WRITE_BYTES, allowedBytes));
        ByteBuf buffer = channel.alloc().directBuffer(length);
        while (buffer.readableBytes() < length) {
            moveFirstPart(buffer, length - buffer.readableBytes());
        }
        queuedBytes -= length;
        writingBytes = length;
        acceptedBytes = 0;
        writeAccount.reserve(length);
        channel.writeAndFlush(buffer, channel.newProgressivePromise().addListener(this));
    }

    private void moveFirstPart(ByteBuf buffer, int maxBytes) {
        Part first = parts.peek();
        buffer.writeBytes(first.bytes(), Math.min(maxBytes, first.bytes().readableBytes()));
        if (!first.bytes().isReadable()) {
            parts.poll();
            sharedTail = first.bytes() == sharedTail ? null : sharedTail;
            release(first);
        }
    }

    private void release(Part part) {
        part.bytes().release();
        heapAccount.release(part.heldBytes());
    }

    @Override
    public void operationProgressed(ChannelProgressiveFuture write, long progress, long total) {
        recordAccepted(progress);
    }

    @Override
    public void operationComplete(ChannelProgressiveFuture written) {
        if (written.isSuccess()) {
            recordAccepted(writingBytes);
        }
        writeAccount.release(writingBytes);
        writingBytes = 0;
        if (!inWriteLoop && written.isSuccess()) {
            flush();
            progressListener.run();
        }
    }

    private void recordAccepted(long totalBytes) {
        if (totalBytes > acceptedBytes) {
            clientProgress.onBytes(Clock.now(), totalBytes - acceptedBytes);
            acceptedBytes = totalBytes;
        }
    }

    /** Runs an action once all bytes are sent, which may be now. */
    void whenEmpty(Runnable action) {
        emptyAction = action;
        flush();
    }

    private void runEmptyAction() {
        if (isEmpty() && emptyAction != null) {
            Runnable action = emptyAction;
            emptyAction = null;
            action.run();
        }
    }

    /** Drops what was not passed to the channel. */
    void discard() {
        parts.forEach(this::release);
        parts.clear();
        sharedTail = null;
        queuedBytes = 0;
        emptyAction = null;
    }
}
