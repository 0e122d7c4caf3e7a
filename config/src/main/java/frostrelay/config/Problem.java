package frostrelay.config;

/**
 * One problem in a configuration file.
 *
 * @param file name of the file as given by the user
 * @param line line number from 1; 0 for the file as a whole
 * @param key path of the key; empty if the text is not valid TOML
 * @param found description of the invalid content
 * @param allowed description of the allowed content
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
