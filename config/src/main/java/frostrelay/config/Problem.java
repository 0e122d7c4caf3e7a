package frostrelay.config;

/**
 * One problem of a file.
 *
 * @param file the file as named by the user
 * @param line line number from 1; 0 for the file as a whole
 * @param key path of the key; empty if the text is no TOML
 * @param found what the file contains
 * @param allowed what it may contain instead
 */
public record Problem(String file, int line, String key, String found, String allowed) {
    @Override
    public String toString() {
        return file
                + (line > 0 ? ":" + line : "")
                + ": "
                + (key.isEmpty() ? "" : key + ": ")
                + "found "
                + found
                + ", allowed: "
                + allowed;
    }
}
