package frostrelay.config;

/**
 * One thing that is wrong with a file. {@code line}: from 1 on, 0 where the whole file is meant;
 * {@code key}: the path of the key, empty where the text is no TOML at all.
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
