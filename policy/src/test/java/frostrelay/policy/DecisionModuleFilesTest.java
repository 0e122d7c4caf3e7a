package frostrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks that the deploy file lists all files of the decision module, and limits line lengths. */
class DecisionModuleFilesTest {
    private static final int MAX_COLUMNS = 110;
    private static final Path SOURCES = Path.of("src/main/java/frostrelay/policy");

    private static List<Path> policyFiles() throws IOException {
        String text = Files.readString(Path.of("../deploy/balancer.toml"));
        Matcher names = Pattern.compile("\"policy/(src/[^\"]+\\.java)\"").matcher(text);
        List<Path> files = new ArrayList<>();
        while (names.find()) {
            files.add(Path.of(names.group(1)));
        }
        return files;
    }

    @Test
    void everyFileOfTheModuleIsListed() throws IOException {
        try (var files = Files.list(SOURCES)) {
            List<Path> module =
                    files.filter(
                                    f ->
                                            f.toString().endsWith(".java")
                                                    && !f.endsWith("package-info.java"))
                            .sorted()
                            .toList();
            assertFalse(module.isEmpty());
            assertEquals(module, policyFiles().stream().sorted().toList());
        }
    }

    @Test
    void linesAreShortEnough() throws IOException {
        List<Path> all = new ArrayList<>(policyFiles());
        try (var files = Files.list(SOURCES.resolve("api"))) {
            files.forEach(all::add);
        }
        for (Path file : all) {
            for (String line : Files.readAllLines(file)) {
                assertFalse(line.length() > MAX_COLUMNS, file + ": " + line);
            }
        }
    }
}
