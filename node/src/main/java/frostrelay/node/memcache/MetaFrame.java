package frostrelay.node.memcache;

import frostrelay.node.proxy.UpstreamResponse;
import frostrelay.policy.api.ResponseSource;

import java.util.List;

/**
 * One line of the meta protocol with its data block, in either direction. The data of a {@code
 * streamed} frame come behind it, piece by piece, up to {@link #END_OF_VALUE}. Where {@code fault}
 * is set the line broke the protocol and {@code fault} is what its sender should be told. Behind a
 * {@code last} frame nobody knows where the next line begins: nothing that follows may be read as
 * one.
 */
public record MetaFrame(
        List<String> tokens, byte[] data, String fault, boolean last, boolean streamed)
        implements UpstreamResponse {
    /** Values may hold so many bytes. */
    public static final int MAX_VALUE_BYTES = 4 * 1024 * 1024;

    /** Those up to here are gathered before they are passed on. */
    public static final int MAX_BUFFERED_VALUE_BYTES = 64 * 1024;

    /** Stands behind the last piece of a streamed frame's data. */
    public static final MetaFrame END_OF_VALUE = new MetaFrame(List.of(), null, null, false, false);

    public static MetaFrame of(List<String> tokens, byte[] data) {
        return new MetaFrame(tokens, data, null, false, false);
    }

    static MetaFrame fault(String errorResponse, boolean last) {
        return new MetaFrame(List.of(), null, errorResponse, last, false);
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

    public boolean tokenEquals(int index, String token) {
        return index < tokens.size() && tokens.get(index).equals(token);
    }

    /**
     * The token of a flag behind the first {@code fromIndex} words, without its letter; null if
     * absent.
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
