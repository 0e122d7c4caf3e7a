package frostrelay.testbed.wire;

import java.util.List;

/** A command or response of the memcache meta protocol, with its data block or null. */
public record MetaMessage(List<String> tokens, byte[] data) {
    /** Returns the token at an index, or an empty string past the last one. */
    public String token(int at) {
        return at < tokens.size() ? tokens.get(at) : "";
    }

    /**
     * Returns the value of the first flag with this letter, or null if there is none. Flags start
     * at the third token of a command and the second of a response.
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

    /** Returns the value of a name in the list of the flag P, or null if it is absent. */
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
