package frostrelay.node;

import frostrelay.policy.Api;

import java.util.List;

/**
 * One line of the meta protocol with its data block, in either direction. The data of a {@code
 * streamed} frame come behind it, piece by piece, up to {@link #END}. Where {@code fault} is set
 * the line broke the protocol and {@code fault} is what its sender should be told. Behind a {@code
 * last} frame nobody knows where the next line begins: nothing that follows may be read as one.
 */
record MetaFrame(List<String> words, byte[] data, String fault, boolean last, boolean streamed)
        implements Reply {
    /** Values may hold so many bytes. */
    static final int MOST_VALUE = 4 * 1024 * 1024;

    /** Those up to here are gathered before they are passed on. */
    static final int MOST_GATHERED = 64 * 1024;

    /** Stands behind the last piece of a streamed frame's data. */
    static final MetaFrame END = new MetaFrame(List.of(), null, null, false, false);

    static MetaFrame of(List<String> words, byte[] data) {
        return new MetaFrame(words, data, null, false, false);
    }

    static MetaFrame fault(String answer, boolean last) {
        return new MetaFrame(List.of(), null, answer, last, false);
    }

    static MetaFrame streamed(List<String> words) {
        return new MetaFrame(words, null, null, false, true);
    }

    @Override
    public long length() {
        return Long.parseLong(words.get(1));
    }

    @Override
    public String receipt() {
        return flag(1, 'c');
    }

    @Override
    public Api.Source source() {
        String hit = flag(1, 'h');
        return hit == null
                ? Api.Source.UNKNOWN
                : hit.equals("1") ? Api.Source.CACHE : Api.Source.FETCH;
    }

    @Override
    public String report() {
        return flag(1, 'L');
    }

    boolean is(int at, String word) {
        return at < words.size() && words.get(at).equals(word);
    }

    /**
     * The token of a flag behind the first {@code from} words, without its letter; null if absent.
     */
    String flag(int from, char letter) {
        for (int i = from; i < words.size(); i++) {
            if (words.get(i).charAt(0) == letter) {
                return words.get(i).substring(1);
            }
        }
        return null;
    }
}
