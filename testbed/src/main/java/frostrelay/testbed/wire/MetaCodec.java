package frostrelay.testbed.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes and encodes the meta protocol for the testbed. It shares no code with the balancer's
 * decoder, because a defect in shared code would go undetected.
 */
public final class MetaCodec extends ByteToMessageDecoder {
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_DATA_BYTES = 8 * 1024 * 1024;
    private List<String> words;
    private int length = -1;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (words == null) {
            int end = in.bytesBefore((byte) '\n');
            if (end < 0 && in.readableBytes() > MAX_LINE_BYTES || end > MAX_LINE_BYTES) {
                throw new TooLongFrameException("a line without end");
            }
            if (end < 0) {
                return;
            }
            String line = in.readCharSequence(end, StandardCharsets.ISO_8859_1).toString();
            in.skipBytes(1);
            words = split(line);
            length = dataLength();
        }
        if (length < 0) {
            out.add(new MetaMessage(words, null));
            words = null;
        } else if (in.readableBytes() >= length + 2) {
            byte[] data = new byte[length];
            in.readBytes(data);
            in.skipBytes(2);
            out.add(new MetaMessage(words, data));
            words = null;
        }
    }

    private static List<String> split(String line) {
        List<String> tokens = new ArrayList<>(8);
        int from = 0;
        int end = line.endsWith("\r") ? line.length() - 1 : line.length();
        for (int i = 0; i <= end; i++) {
            if (i == end || line.charAt(i) == ' ') {
                if (i > from) {
                    tokens.add(line.substring(from, i));
                }
                from = i + 1;
            }
        }
        if (tokens.isEmpty()) {
            tokens.add("");
        }
        return tokens;
    }

    private int dataLength() {
        int at = words.get(0).equals("ms") ? 2 : words.get(0).equals("VA") ? 1 : -1;
        if (at < 0 || at >= words.size()) {
            return -1;
        }
        int bytes = Integer.parseInt(words.get(at));
        if (bytes < 0 || bytes > MAX_DATA_BYTES) {
            throw new TooLongFrameException("a value of " + bytes + " bytes");
        }
        return bytes;
    }

    /** Encodes a line and its data block. */
    public static ByteBuf encode(ByteBufAllocator alloc, String line, byte[] data) {
        ByteBuf out = alloc.buffer(line.length() + 2 + (data == null ? 0 : data.length + 2));
        out.writeCharSequence(line, StandardCharsets.ISO_8859_1);
        out.writeByte('\r').writeByte('\n');
        if (data != null) {
            out.writeBytes(data).writeByte('\r').writeByte('\n');
        }
        return out;
    }
}
