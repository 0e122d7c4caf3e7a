package frostrelay.audit;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Strings in entries: u8 length, then UTF-8. */
final class EntryText {
    private static final int MAX_BYTES = 255;

    private EntryText() {}

    /** Writes a string, cut to its first 255 bytes. */
    static void write(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(MAX_BYTES, bytes.length);
        out.put((byte) length).put(bytes, 0, length);
    }

    /** Reads a string. Throws BufferUnderflowException where it is truncated. */
    static String read(ByteBuffer in) {
        byte[] bytes = new byte[Byte.toUnsignedInt(in.get())];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
