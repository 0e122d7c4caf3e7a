package frostrelay.node.memcache;

import frostrelay.node.net.HeapCumulator;
import frostrelay.node.net.MemoryPool;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * Splits a byte stream into {@link MetaFrame}s, strictly and with bounded memory. A framing error
 * (a line over the length limit, an invalid data length or a data block without its final CRLF)
 * ends the stream: further parsing would mistake data for commands or responses, so all later bytes
 * are skipped.
 *
 * <p>A short data block is buffered and delivered with its frame. A long one is delivered as a
 * streamed frame, retained {@link ByteBuf} chunks and {@link MetaFrame#END_OF_VALUE}.
 *
 * <p>The buffer of a command's data block grows as data arrive, and an error ends the stream if
 * there is no memory for it. A response has got its request's work done, so it waits for memory
 * instead: all of its data block is reserved before any of it is decoded.
 */
public final class MetaDecoder extends ByteToMessageDecoder {
    /** Far above the longest valid line: a key of 250 bytes, an id and a parameter list. */
    static final int MAX_LINE_BYTES = 2048;

    private static final int MAX_LENGTH_DIGITS = 9;
    private static final int CRLF_BYTES = 2;
    private static final char DELETE_CHARACTER = 0x7f;

    /** The initial size of a value's buffer, which grows as data arrive. */
    private static final int INITIAL_BUFFER_BYTES = 1024;

    private static final String BAD_CHUNK_RESPONSE = "CLIENT_ERROR bad data chunk";

    /**
     * Commands of the classic protocol that carry a data block. They are not supported and end the
     * stream, so that their data are not parsed as commands.
     */
    private static final Set<String> CLASSIC_STORAGE_COMMANDS =
            Set.of("set", "add", "replace", "append", "prepend", "cas");

    /** Provides the memory for the data blocks of responses. */
    public interface ResponseMemory {
        /** Returns the memory for the data block of the response that is being received. */
        MemoryPool memoryForData();

        /**
         * Called when a response must wait for memory. Nothing should be read until {@link
         * #onMemoryReserved}.
         */
        void onMemoryAwaited();

        /** Called when there is memory for a response that had to wait, before it is continued. */
        void onMemoryReserved();
    }

    private enum State {
        /** At a frame boundary or within a line. */
        LINE,
        /** Before a data block that must wait for memory. */
        AWAITING_MEMORY,
        /** Within a data block that is delivered with its frame. */
        BUFFERED_DATA,
        /** Within a data block that is delivered in chunks. */
        STREAMED_DATA,
        /** After a framing error. */
        FAILED
    }

    private final String dataCommand;
    private final int lengthTokenIndex;
    private final int maxValueBytes;

    /** The memory for commands; null in a decoder of responses. */
    private final MemoryPool commandMemory;

    /** The memory for responses; null in a decoder of commands. */
    private final ResponseMemory responseMemory;

    private ChannelHandlerContext context;
    private State state = State.LINE;

    /** The line whose data block is being received; null between frames. */
    private List<String> pendingTokens;

    /** The buffer of the data block; null between frames. */
    private byte[] data;

    /** The memory in which the buffer is reserved; null if nothing is reserved. */
    private MemoryPool dataMemory;

    private int dataLength;
    private int receivedBytes;

    private MetaDecoder(
            String dataCommand,
            int lengthTokenIndex,
            int maxValueBytes,
            MemoryPool commandMemory,
            ResponseMemory responseMemory) {
        this.maxValueBytes = maxValueBytes;
        this.dataCommand = dataCommand;
        this.lengthTokenIndex = lengthTokenIndex;
        this.commandMemory = commandMemory;
        this.responseMemory = responseMemory;
        setCumulator(HeapCumulator.INSTANCE);
    }

    /** Decodes commands of clients, of which {@code ms} carries a data block. */
    public static MetaDecoder forCommands(MemoryPool memory) {
        return new MetaDecoder("ms", 2, MetaFrame.MAX_BUFFERED_VALUE_BYTES, memory, null);
    }

    /** Decodes responses of cache servers, of which {@code VA} carries a data block. */
    public static MetaDecoder forResponses(ResponseMemory memory) {
        return new MetaDecoder("VA", 1, MetaFrame.MAX_VALUE_BYTES, null, memory);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /**
     * {@inheritDoc}
     *
     * <p>Unlike other decoders, never requests a read of its own: reading is off because there is
     * no memory.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        discardSomeReadBytes();
        ctx.fireChannelReadComplete();
    }

    /** Returns the number of received bytes that are not part of a frame or a data block yet. */
    public int undecodedBytes() {
        return actualReadableBytes();
    }

    /**
     * Returns the number of bytes that complete the current data block with its CRLF; 0 outside of
     * a data block.
     */
    public int missingDataBytes() {
        return state == State.BUFFERED_DATA || state == State.STREAMED_DATA
                ? dataLength - receivedBytes + CRLF_BYTES - actualReadableBytes()
                : 0;
    }

    /** Returns whether the current response waits for memory. */
    public boolean isAwaitingMemory() {
        return state == State.AWAITING_MEMORY;
    }

    /**
     * Continues with a response that waits for memory if there is some now. The frames of the bytes
     * received before are delivered before this method returns.
     */
    public void resume() {
        if (!isAwaitingMemory() || !context.channel().isActive() || !tryReserveResponse()) {
            return;
        }
        responseMemory.onMemoryReserved();
        context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
        context.pipeline().fireChannelReadComplete();
    }

    /** Returns whether the last frame is complete and no byte of the next one was received. */
    public boolean isAtFrameBoundary() {
        return state == State.LINE && actualReadableBytes() == 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        switch (state) {
            case FAILED -> in.skipBytes(in.readableBytes());
            case STREAMED_DATA -> readChunk(in, out);
            case BUFFERED_DATA -> readData(in, out);
            case LINE -> readLine(in, out);
            case AWAITING_MEMORY -> {
                // Nothing is decoded before there is memory.
            }
            default -> throw new IllegalStateException("unexpected state " + state);
        }
    }

    private void failStream(String errorResponse, ByteBuf in, List<Object> out) {
        in.skipBytes(in.readableBytes());
        endDataBlock();
        state = State.FAILED;
        out.add(MetaFrame.malformed(errorResponse, true));
    }

    private void readLine(ByteBuf in, List<Object> out) {
        int lineEnd = in.bytesBefore((byte) '\n');
        if (lineEnd > MAX_LINE_BYTES || lineEnd < 0 && in.readableBytes() > MAX_LINE_BYTES) {
            failStream("CLIENT_ERROR line too long", in, out);
            return;
        }
        if (lineEnd < 0) {
            return;
        }
        String line = in.readCharSequence(lineEnd, StandardCharsets.ISO_8859_1).toString();
        in.skipBytes(1);
        if (!line.endsWith("\r")) {
            failStream("CLIENT_ERROR lines end in CRLF", in, out);
        } else {
            parseLine(line.substring(0, lineEnd - 1), in, out);
        }
    }

    private void parseLine(String line, ByteBuf in, List<Object> out) {
        List<String> tokens = splitTokens(line);
        if (tokens == null) {
            failStream("CLIENT_ERROR control character in line", in, out);
            return;
        }
        if (tokens.isEmpty()) {
            out.add(MetaFrame.malformed("ERROR", false));
        } else if (CLASSIC_STORAGE_COMMANDS.contains(tokens.get(0))) {
            failStream("ERROR", in, out);
        } else if (!tokens.get(0).equals(dataCommand)) {
            out.add(MetaFrame.of(tokens, null));
        } else {
            startData(tokens, in, out);
        }
    }

    /** Splits a line at spaces; returns null if it contains a control character. */
    private static List<String> splitTokens(String line) {
        List<String> tokens = new ArrayList<>();
        int tokenStart = 0;
        for (int i = 0; i <= line.length(); i++) {
            char c = i < line.length() ? line.charAt(i) : ' ';
            if (c < ' ' || c == DELETE_CHARACTER) {
                return null;
            }
            if (c == ' ') {
                if (i > tokenStart) {
                    tokens.add(line.substring(tokenStart, i));
                }
                tokenStart = i + 1;
            }
        }
        return tokens;
    }

    private void startData(List<String> tokens, ByteBuf in, List<Object> out) {
        String lengthText = tokens.size() > lengthTokenIndex ? tokens.get(lengthTokenIndex) : "";
        if (!isDecimal(lengthText)) {
            failStream(BAD_CHUNK_RESPONSE, in, out);
        } else if (lengthText.length() > MAX_LENGTH_DIGITS
                || Integer.parseInt(lengthText) > maxValueBytes) {
            failStream("CLIENT_ERROR value too large", in, out);
        } else {
            pendingTokens = tokens;
            dataLength = Integer.parseInt(lengthText);
            data = new byte[0];
            receivedBytes = 0;
            if (dataLength > MetaFrame.MAX_BUFFERED_VALUE_BYTES) {
                state = State.STREAMED_DATA;
                out.add(MetaFrame.streamed(tokens));
            } else if (responseMemory == null) {
                state = State.BUFFERED_DATA;
                dataMemory = commandMemory;
            } else if (!tryReserveResponse()) {
                state = State.AWAITING_MEMORY;
                responseMemory.onMemoryAwaited();
            }
        }
    }

    private boolean tryReserveResponse() {
        MemoryPool memory = responseMemory.memoryForData();
        if (!memory.tryReserve(dataLength)) {
            return false;
        }
        dataMemory = memory;
        data = new byte[dataLength];
        state = State.BUFFERED_DATA;
        return true;
    }

    private static boolean isDecimal(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private void readChunk(ByteBuf in, List<Object> out) {
        int chunkBytes = Math.min(dataLength - receivedBytes, in.readableBytes());
        if (chunkBytes > 0) {
            receivedBytes += chunkBytes;
            out.add(in.readRetainedSlice(chunkBytes));
        } else if (receivedBytes == dataLength && in.readableBytes() >= CRLF_BYTES) {
            if (consumeBlockEnd(in)) {
                endDataBlock();
                out.add(MetaFrame.END_OF_VALUE);
            } else {
                failStream(BAD_CHUNK_RESPONSE, in, out);
            }
        }
    }

    private static boolean consumeBlockEnd(ByteBuf in) {
        return in.readByte() == '\r' & in.readByte() == '\n';
    }

    private void readData(ByteBuf in, List<Object> out) {
        int chunkBytes = Math.min(dataLength - receivedBytes, in.readableBytes());
        if (receivedBytes + chunkBytes > data.length && !grow(receivedBytes + chunkBytes)) {
            failStream("SERVER_ERROR out of memory", in, out);
            return;
        }
        in.readBytes(data, receivedBytes, chunkBytes);
        receivedBytes += chunkBytes;
        if (receivedBytes < dataLength || in.readableBytes() < CRLF_BYTES) {
            return;
        }
        if (!consumeBlockEnd(in)) {
            failStream(BAD_CHUNK_RESPONSE, in, out);
            return;
        }
        out.add(
                MetaFrame.of(
                        pendingTokens,
                        data.length == dataLength ? data : Arrays.copyOf(data, dataLength)));
        endDataBlock();
    }

    /** Enlarges the buffer; returns false if the memory limit does not allow it. */
    private boolean grow(int minBytes) {
        int newBytes =
                Math.min(
                        dataLength,
                        Math.max(minBytes, Math.max(INITIAL_BUFFER_BYTES, 2 * data.length)));
        if (!dataMemory.tryReserve(newBytes - data.length)) {
            return false;
        }
        data = Arrays.copyOf(data, newBytes);
        return true;
    }

    /** Releases the buffer of the current data block, if any. */
    private void endDataBlock() {
        if (pendingTokens != null) {
            if (dataMemory != null) {
                dataMemory.release(data.length);
                dataMemory = null;
            }
            pendingTokens = null;
            data = null;
            state = State.LINE;
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        endDataBlock();
    }
}
