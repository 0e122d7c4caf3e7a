package frostrelay.cli;

import com.fasterxml.jackson.jr.ob.JSON;

import picocli.CommandLine.Option;

import java.io.IOException;
import java.util.Map;

/** How a command prints its figures: for people, or as one JSON object on the last line. */
final class Output {
    @Option(
            names = "--json",
            description = "Print the figures as one JSON object, on the last line.")
    private boolean json;

    boolean json() {
        return json;
    }

    /** Progress: on standard error where standard output is for a machine. */
    void progress(String line) {
        (json ? System.err : System.out).println(line);
    }

    void result(Map<String, Object> figures, String text) {
        if (!json) {
            System.out.println(text);
            return;
        }
        try {
            System.out.println(JSON.std.asString(figures));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
