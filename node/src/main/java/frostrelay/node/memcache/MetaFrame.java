package frostrelay.node.memcache;

import frostrelay.node.proxy.UpstreamResponse;
import frostrelay.policy.api.ResponseSource;

import java.util.List;

/**
 * One line of the meta protocol with its data block, in either direction. Immutable.
 *
 * @param tokens the words of the line; empty if the line violated the protocol
 * @param data the complete data block; null if there is none or it is streamed
 * @param errorResponse the response to a line that violated the protocol; otherwise null
 * @param endsStream whether the next frame boundary is unknown, so that no bytes after this frame
 *     may be parsed
 * @param streamed whether the data block follows in chunks, up to {@link #END_OF_VALUE}
 */
public record MetaFrame(
        List<String> tokens,
        byte[] data,
        String errorResponse,
        boolean endsStream,
        boolean streamed)
        implements UpstreamResponse {
    /** The size of the largest supported value. */
    public static final int MAX_VALUE_BYTES = 4 * 1024 * 1024;

    /** Values up to this size are received completely before they are forwarded. */
    public static final int MAX_BUFFERED_VALUE_BYTES = 64 * 1024;

    /** Follows the last chunk of a streamed frame's data. */
    public static final MetaFrame END_OF_VALUE = new MetaFrame(List.of(), null, null, false, false);

    /** Returns the frame of a valid line; {@code data} is null if it has no data block. */
    public static MetaFrame of(List<String> tokens, byte[] data) {
        return new MetaFrame(tokens, data, null, false, false);
    }

    static MetaFrame malformed(String errorResponse, boolean endsStream) {
        return new MetaFrame(List.of(), null, errorResponse, endsStream, false);
    }

    static MetaFrame streamed(List<String> tokens) {
        return new MetaFrame(tokens, null, null, false, true);
    }

    @Override
    public long valueBytes() {
        return Long.parseLong(tokens.get(1));
    }

    @Override
    public String receipt() {
        return flagToken(1, 'c');
    }

    @Override
    public ResponseSource source() {
        String hit = flagToken(1, 'h');
        return hit == null
                ? ResponseSource.UNKNOWN
                : hit.equals("1") ? ResponseSource.CACHE : ResponseSource.ORIGIN;
    }

    @Override
    public String loadReport() {
        return flagToken(1, 'L');
    }

    /** Returns whether the line has this token at this index. */
    public boolean tokenEquals(int index, String token) {
        return index < tokens.size() && tokens.get(index).equals(token);
    }

    /**
     * Returns the argument of the first flag with this letter at or after {@code fromIndex}; null
     * if the flag is absent.
     */
    public String flagToken(int fromIndex, char letter) {
        for (int i = fromIndex; i < tokens.size(); i++) {
            if (tokens.get(i).charAt(0) == letter) {
                return tokens.get(i).substring(1);
            }
        }
        return null;
    }
}
