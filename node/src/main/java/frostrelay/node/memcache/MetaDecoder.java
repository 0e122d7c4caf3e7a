package frostrelay.node.memcache;

import frostrelay.node.net.MemoryLimiter;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * Cuts a byte stream into {@link MetaFrame}s, strictly and within bounds. A fault in the framing
 * itself (an overlong line, a length that cannot be, a data block without its end) is the last
 * frame of a stream: parsing on would take somebody's data for commands or answers.
 */
public final class MetaDecoder extends ByteToMessageDecoder {
    /** Far above the longest honest line: a key of 250 bytes, an id and a list of figures. */
    static final int MAX_LINE_BYTES = 2048;

    private static final int MAX_LENGTH_DIGITS = 9;
    private static final int CRLF_BYTES = 2;

    /** A value's buffer begins this small and grows with what arrives. */
    private static final int INITIAL_BUFFER_BYTES = 1024;

    private static final String BAD_CHUNK_RESPONSE = "CLIENT_ERROR bad data chunk";

    /**
     * Commands of the classic protocol that bring data: they are not served, and their data are no
     * commands.
     */
    private static final Set<String> CLASSIC_STORAGE_COMMANDS =
            Set.of("set", "add", "replace", "append", "prepend", "cas");

    private final String dataCommand;
    private final int lengthTokenIndex;
    private final int maxValueBytes;
    private final MemoryLimiter memoryLimiter;

    /** The line whose data block is coming in, null between frames. */
    private List<String> pendingTokens;

    private byte[] data;
    private int dataLength;
    private int receivedBytes;

    /** The data block is handed on piece by piece. */
    private boolean streaming;

    private boolean failed;

    private MetaDecoder(
            String dataCommand,
            int lengthTokenIndex,
            int maxValueBytes,
            MemoryLimiter memoryLimiter) {
        this.maxValueBytes = maxValueBytes;
        this.dataCommand = dataCommand;
        this.lengthTokenIndex = lengthTokenIndex;
        this.memoryLimiter = memoryLimiter;
    }

    /** Reads what clients send: {@code ms} brings data. */
    public static MetaDecoder forCommands(MemoryLimiter memoryLimiter) {
        return new MetaDecoder("ms", 2, MetaFrame.MAX_BUFFERED_VALUE_BYTES, memoryLimiter);
    }

    /** Reads what cache hosts answer: {@code VA} brings data. */
    public static MetaDecoder forResponses(MemoryLimiter memoryLimiter) {
        return new MetaDecoder("VA", 1, MetaFrame.MAX_VALUE_BYTES, memoryLimiter);
    }

    /** Whether the stream stands right between two frames, with not a byte of the next one here. */
    public boolean isAtFrameBoundary() {
        return !failed && pendingTokens == null && actualReadableBytes() == 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (failed) {
            in.skipBytes(in.readableBytes());
        } else if (streaming) {
            readChunk(in, out);
        } else if (pendingTokens != null) {
            readData(in, out);
        } else {
            readLine(in, out);
        }
    }

    private void failStream(String errorResponse, ByteBuf in, List<Object> out) {
        failed = true;
        in.skipBytes(in.readableBytes());
        dropData();
        out.add(MetaFrame.fault(errorResponse, true));
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
        List<String> tokens = new ArrayList<>();
        int tokenStart = 0;
        for (int i = 0; i <= line.length(); i++) {
            char c = i < line.length() ? line.charAt(i) : ' ';
            if (c < ' ' || c == 0x7f) {
                failStream("CLIENT_ERROR control character in line", in, out);
                return;
            }
            if (c == ' ') {
                if (i > tokenStart) {
                    tokens.add(line.substring(tokenStart, i));
                }
                tokenStart = i + 1;
            }
        }
        if (tokens.isEmpty()) {
            out.add(MetaFrame.fault("ERROR", false));
        } else if (CLASSIC_STORAGE_COMMANDS.contains(tokens.get(0))) {
            failStream("ERROR", in, out);
        } else if (!tokens.get(0).equals(dataCommand)) {
            out.add(MetaFrame.of(tokens, null));
        } else {
            startData(tokens, in, out);
        }
    }

    private void startData(List<String> tokens, ByteBuf in, List<Object> out) {
        String lengthText = tokens.size() > lengthTokenIndex ? tokens.get(lengthTokenIndex) : "";
        if (lengthText.isEmpty() || !lengthText.chars().allMatch(c -> c >= '0' && c <= '9')) {
            failStream(BAD_CHUNK_RESPONSE, in, out);
        } else if (lengthText.length() > MAX_LENGTH_DIGITS
                || Integer.parseInt(lengthText) > maxValueBytes) {
            failStream("CLIENT_ERROR value too large", in, out);
        } else {
            pendingTokens = tokens;
            dataLength = Integer.parseInt(lengthText);
            data = new byte[0];
            receivedBytes = 0;
            streaming = dataLength > MetaFrame.MAX_BUFFERED_VALUE_BYTES;
            if (streaming) {
                out.add(MetaFrame.streamed(tokens));
            }
        }
    }

    private void readChunk(ByteBuf in, List<Object> out) {
        int chunkBytes = Math.min(dataLength - receivedBytes, in.readableBytes());
        if (chunkBytes > 0) {
            receivedBytes += chunkBytes;
            out.add(in.readRetainedSlice(chunkBytes));
        } else if (receivedBytes == dataLength && in.readableBytes() >= CRLF_BYTES) {
            if (consumeBlockEnd(in)) {
                dropData();
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
        dropData();
    }

    private boolean grow(int minBytes) {
        int newBytes =
                Math.min(
                        dataLength,
                        Math.max(minBytes, Math.max(INITIAL_BUFFER_BYTES, 2 * data.length)));
        if (!memoryLimiter.tryReserve(newBytes - data.length)) {
            return false;
        }
        data = Arrays.copyOf(data, newBytes);
        return true;
    }

    private void dropData() {
        if (pendingTokens != null) {
            memoryLimiter.release(data.length);
            pendingTokens = null;
            data = null;
            streaming = false;
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        dropData();
    }
}
