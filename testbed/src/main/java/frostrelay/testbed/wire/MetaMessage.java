package frostrelay.testbed.wire;

import java.util.List;

/**
 * One line of the memcache meta protocol, in either direction, with its data block if it has one.
 */
public record MetaMessage(List<String> tokens, byte[] data) {
    /** The word at a place, or an empty text behind the last. */
    public String token(int at) {
        return at < tokens.size() ? tokens.get(at) : "";
    }

    /**
     * What follows the first word that begins with a letter, from the third word on; null if there
     * is none.
     */
    public String flag(char letter) {
        for (int i = 1; i < tokens.size(); i++) {
            String word = tokens.get(i);
            if (word.charAt(0) == letter && i >= (tokens.get(0).startsWith("m") ? 2 : 1)) {
                return word.substring(1);
            }
        }
        return null;
    }

    /** The value of a name in the list behind the flag P; null if it is not there. */
    public String figure(String name) {
        String list = flag('P');
        if (list == null) {
            return null;
        }
        for (String figure : list.split(",")) {
            if (figure.startsWith(name) && figure.startsWith("=", name.length())) {
                return figure.substring(name.length() + 1);
            }
        }
        return null;
    }
}
